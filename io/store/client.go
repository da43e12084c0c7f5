// Package store is the client of the platform: objects with versions, the log
// of changes, snapshots, leases and status records.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/fault"
)

// Object is a value in the platform with its version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Deleted is set in watches only.
	Deleted bool `json:"deleted"`
}

// ObjectStore is the platform's object store. Errors are faults: not_found,
// conflict (a condition failed), unavailable (nothing was executed), or
// unknown_outcome (a write may have been executed).
type ObjectStore interface {
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects under a prefix and the version of the store.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch returns what changed under a prefix after a version, and the
	// version up to which the answer is complete. It may return nothing.
	Watch(ctx context.Context, prefix string, from uint64) ([]Object, uint64, error)
	// Put writes a value if the object has the version; 0 means absent.
	Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	Delete(ctx context.Context, key string) error
}

// Clock is the time as a process sees it.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// WallClock is the system's clock.
type WallClock struct{}

// Now returns the current time.
func (WallClock) Now() time.Time { return time.Now() }

// After returns a channel that delivers the time after d.
func (WallClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

const (
	// readTries bounds the load that retries add during an outage.
	readTries = 3
	// firstBackoff doubles with each retry; the wait is drawn from half to
	// the whole of it, so that a fleet does not retry in step.
	firstBackoff = 50 * time.Millisecond
	// callTimeout is far above the platform's milliseconds.
	callTimeout = 3 * time.Second
	// watchTimeout is above the 30 s after which a watch answers by itself.
	watchTimeout = 45 * time.Second
	// maxAnswer bounds an answer: a list of all hosts, or one value of 1 MB.
	maxAnswer = 32 << 20
)

// Client calls the platform over HTTP. Safe for concurrent use.
type Client struct {
	// bases are never changed; calls start with the first.
	bases []string
	name  string
	http  *http.Client
	clock Clock

	mu  sync.Mutex
	rng *rand.Rand
}

// Options configure a Client. Zero fields select defaults.
type Options struct {
	// BaseURLs are base URLs of the platform; at least one.
	BaseURLs []string
	// Name identifies this process to the platform.
	Name string
	// Seed starts the random source of the backoff.
	Seed uint64
	// HTTP sends the calls (a client with its own connections).
	HTTP *http.Client
	// Clock paces retries (the system's clock).
	Clock Clock
}

// NewClient returns a client of the platform.
func NewClient(o Options) *Client {
	c := &Client{name: o.Name, http: o.HTTP, clock: o.Clock, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	for _, b := range o.BaseURLs {
		c.bases = append(c.bases, strings.TrimRight(b, "/"))
	}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	}
	if c.clock == nil {
		c.clock = WallClock{}
	}
	return c
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	a, err := c.read(ctx, "/objects/"+key, callTimeout)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: a.version, Value: a.body}, nil
}

// List returns the objects under a prefix and the version of the store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	return c.page(ctx, "/list?prefix="+url.QueryEscape(prefix), callTimeout)
}

// Watch waits for changes under a prefix after a version.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64) ([]Object, uint64, error) {
	return c.page(ctx, fmt.Sprintf("/watch?prefix=%s&from=%d", url.QueryEscape(prefix), from), watchTimeout)
}

func (c *Client) page(ctx context.Context, path string, limit time.Duration) ([]Object, uint64, error) {
	a, err := c.read(ctx, path, limit)
	if err != nil {
		return nil, 0, err
	}
	var p struct {
		Version uint64   `json:"version"`
		Objects []Object `json:"objects"`
	}
	if err := json.Unmarshal(a.body, &p); err != nil {
		return nil, 0, fault.Wrap(err, fault.KindUnavailable, "the platform's answer can't be read", "check the platform address")
	}
	return p.Objects, p.Version, nil
}

// Put writes a value if the object has the version; 0 means absent. It is
// never repeated here, since a lost answer may hide a write that took effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	h := http.Header{"If-None-Match": {"*"}}
	if version > 0 {
		h = http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
	}
	a, err := c.write(ctx, http.MethodPut, key, value, h)
	return a.version, err
}

// Delete removes an object.
func (c *Client) Delete(ctx context.Context, key string) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, nil)
	return err
}

type answer struct {
	version uint64
	body    []byte
}

// read repeats a call a bounded number of times while the platform does not
// answer, with each base in turn.
func (c *Client) read(ctx context.Context, path string, limit time.Duration) (answer, error) {
	for try := 0; ; try++ {
		a, _, err := c.call(ctx, http.MethodGet, c.bases[try%len(c.bases)]+path, nil, nil, limit)
		if err == nil || fault.KindOf(err) != fault.KindUnavailable || try+1 >= max(readTries, len(c.bases)) {
			return a, err
		}
		select {
		case <-c.clock.After(c.backoff(try)):
		case <-ctx.Done():
			return answer{}, err
		}
	}
}

func (c *Client) backoff(try int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := firstBackoff << try
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)))
}

// write moves on to the next base only when the call was never sent.
func (c *Client) write(ctx context.Context, method, key string, value []byte, h http.Header) (answer, error) {
	for i, base := range c.bases {
		a, sent, err := c.call(ctx, method, base+"/objects/"+key, value, h, callTimeout)
		switch {
		case err == nil || fault.KindOf(err) != fault.KindUnavailable:
			return a, err
		case sent:
			return answer{}, fault.Wrap(err, fault.KindUnknownOutcome, "no answer to the write of "+key, "read the object to see whether it took effect")
		case i+1 == len(c.bases):
			return answer{}, err
		}
	}
	return answer{}, fault.New(fault.KindUnavailable, "no platform address is known", "set a platform address")
}

// call makes one call. sent is false when the platform can't have seen it.
func (c *Client) call(ctx context.Context, method, target string, body []byte, h http.Header, limit time.Duration) (a answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, false, fault.Wrap(err, fault.KindInvalid, "bad platform address", "correct the platform address")
	}
	if h != nil {
		req.Header = h
	}
	req.Header.Set("X-Client", c.name)
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		dialing := errors.As(err, &op) && op.Op == "dial"
		return answer{}, !dialing, unavailable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, true, unavailable(err)
	}
	a.body = text
	a.version, _ = strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return a, true, statusError(resp.StatusCode, method+" "+req.URL.Path, text)
}

func unavailable(err error) error {
	return fault.Wrap(err, fault.KindUnavailable, "the platform does not answer", "check the platform address and the network, then try again")
}

func statusError(code int, what string, text []byte) error {
	switch {
	case code < 300:
		return nil
	case code == http.StatusNotFound:
		return fault.New(fault.KindNotFound, what+": no such object", "check the name")
	case code == http.StatusPreconditionFailed:
		return fault.New(fault.KindConflict, what+": the object has changed", "read it again")
	case code >= 500:
		return unavailable(fmt.Errorf("%s: status %d: %s", what, code, bytes.TrimSpace(text)))
	default:
		return fault.New(fault.KindInvalid, fmt.Sprintf("%s: status %d: %s", what, code, bytes.TrimSpace(text)), "check that the versions of the programs match")
	}
}
