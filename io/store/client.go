// Package store is the client of the platform's object store. On top of its
// versioned objects it keeps the log of changes, snapshots, leases and status
// records.
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

// Object is a versioned value in the platform.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Deleted is set only in answers of Watch.
	Deleted bool `json:"deleted"`
}

// ObjectStore is the platform's object store. Errors are faults: not_found,
// conflict (a condition failed), unavailable (nothing was executed), or
// unknown_outcome (a write may have been executed).
type ObjectStore interface {
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects under a prefix and the version of the store.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits for changes under a prefix after a version. It returns the
	// changed objects, possibly none, and the version up to which they are
	// complete.
	Watch(ctx context.Context, prefix string, from uint64) ([]Object, uint64, error)
	// Put writes a value if the object has the given version; 0 means that it
	// does not exist. It returns the new version.
	Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	Delete(ctx context.Context, key string) error
}

// Clock provides time and timers; tests replace it.
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
	// maxReadAttempts bounds the load that retries add during an outage.
	maxReadAttempts = 3
	// initialBackoff doubles with each retry. The wait is drawn between half
	// the backoff and the whole, so that a fleet does not retry in step.
	initialBackoff = 50 * time.Millisecond
	// callTimeout is far above the platform's usual milliseconds.
	callTimeout = 3 * time.Second
	// watchTimeout is above the 30 s after which the platform answers a watch
	// without changes.
	watchTimeout = 45 * time.Second
	// maxResponseBytes bounds a response; the largest are the list of all hosts
	// and a single value of 1 MB.
	maxResponseBytes = 32 << 20
)

// Client calls the platform over HTTP. Safe for concurrent use.
type Client struct {
	// baseURLs never change; each call starts with the first.
	baseURLs []string
	name     string
	http     *http.Client
	clock    Clock

	mu  sync.Mutex
	rng *rand.Rand
}

// Options configure a Client. Zero fields select defaults.
type Options struct {
	// BaseURLs are base URLs of the platform; at least one.
	BaseURLs []string
	// Name identifies this process to the platform.
	Name string
	// Seed initialises the random source of the backoff.
	Seed uint64
	// HTTP sends the calls (default: a client with its own connections).
	HTTP *http.Client
	// Clock times the retries (default: the system's clock).
	Clock Clock
}

// NewClient returns a client of the platform.
func NewClient(o Options) *Client {
	c := &Client{name: o.Name, http: o.HTTP, clock: o.Clock, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	for _, b := range o.BaseURLs {
		c.baseURLs = append(c.baseURLs, strings.TrimRight(b, "/"))
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
	r, err := c.read(ctx, "/objects/"+key, callTimeout)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: r.version, Value: r.body}, nil
}

// List returns the objects under a prefix and the version of the store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	return c.readObjects(ctx, "/list?prefix="+url.QueryEscape(prefix), callTimeout)
}

// Watch waits for changes under a prefix after a version.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64) ([]Object, uint64, error) {
	return c.readObjects(ctx, fmt.Sprintf("/watch?prefix=%s&from=%d", url.QueryEscape(prefix), from), watchTimeout)
}

func (c *Client) readObjects(ctx context.Context, path string, timeout time.Duration) ([]Object, uint64, error) {
	r, err := c.read(ctx, path, timeout)
	if err != nil {
		return nil, 0, err
	}
	var page struct {
		Version uint64   `json:"version"`
		Objects []Object `json:"objects"`
	}
	if err := json.Unmarshal(r.body, &page); err != nil {
		return nil, 0, fault.Wrap(err, fault.KindUnavailable, "the platform's response can't be decoded", "check the platform address")
	}
	return page.Objects, page.Version, nil
}

// Put writes a value if the object has the given version; 0 means that it does
// not exist. Writes are not retried, since one whose response was lost may have
// taken effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	h := http.Header{"If-None-Match": {"*"}}
	if version > 0 {
		h = http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
	}
	r, err := c.write(ctx, http.MethodPut, key, value, h)
	return r.version, err
}

// Delete removes an object.
func (c *Client) Delete(ctx context.Context, key string) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, nil)
	return err
}

type response struct {
	version uint64
	body    []byte
}

// read makes a call and retries it a bounded number of times while the platform
// does not answer, with each base URL in turn.
func (c *Client) read(ctx context.Context, path string, timeout time.Duration) (response, error) {
	for attempt := 0; ; attempt++ {
		r, _, err := c.call(ctx, http.MethodGet, c.baseURLs[attempt%len(c.baseURLs)]+path, nil, nil, timeout)
		if err == nil || fault.KindOf(err) != fault.KindUnavailable || attempt+1 >= max(maxReadAttempts, len(c.baseURLs)) {
			return r, err
		}
		select {
		case <-c.clock.After(c.backoff(attempt)):
		case <-ctx.Done():
			return response{}, err
		}
	}
}

func (c *Client) backoff(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := initialBackoff << attempt
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)))
}

// write goes on to the next base URL only when the call was not sent.
func (c *Client) write(ctx context.Context, method, key string, value []byte, h http.Header) (response, error) {
	for i, base := range c.baseURLs {
		r, sent, err := c.call(ctx, method, base+"/objects/"+key, value, h, callTimeout)
		switch {
		case err == nil || fault.KindOf(err) != fault.KindUnavailable:
			return r, err
		case sent:
			return response{}, fault.Wrap(err, fault.KindUnknownOutcome, "the platform did not answer the write of "+key, "read the object to see whether it took effect")
		case i+1 == len(c.baseURLs):
			return response{}, err
		}
	}
	return response{}, fault.New(fault.KindUnavailable, "no platform address is known", "set a platform address")
}

// call makes one call. sent is false when the call can't have reached the
// platform.
func (c *Client) call(ctx context.Context, method, target string, body []byte, h http.Header, timeout time.Duration) (r response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, false, fault.Wrap(err, fault.KindInvalid, "the platform address is not valid", "correct the platform address")
	}
	if h != nil {
		req.Header = h
	}
	req.Header.Set("X-Client", c.name)
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		dialing := errors.As(err, &op) && op.Op == "dial"
		return response{}, !dialing, unavailable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, true, unavailable(err)
	}
	r.body = content
	r.version, _ = strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return r, true, statusError(resp.StatusCode, method+" "+req.URL.Path, content)
}

func unavailable(err error) error {
	return fault.Wrap(err, fault.KindUnavailable, "the platform does not answer", "check the platform address and the network, then try again")
}

func statusError(code int, call string, body []byte) error {
	switch {
	case code < 300:
		return nil
	case code == http.StatusNotFound:
		return fault.New(fault.KindNotFound, call+": no such object", "check the name")
	case code == http.StatusPreconditionFailed:
		return fault.New(fault.KindConflict, call+": the object has changed", "read the object and try again")
	case code >= 500:
		return unavailable(fmt.Errorf("%s: status %d: %s", call, code, bytes.TrimSpace(body)))
	default:
		return fault.New(fault.KindInvalid, fmt.Sprintf("%s: status %d: %s", call, code, bytes.TrimSpace(body)), "check that the versions of the programs match")
	}
}
