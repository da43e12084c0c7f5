// Package client lets programs open flows through egretdock, send requests,
// upload data and receive pushed messages.
package client

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"egretdock/core/packet"
	"egretdock/io/wire"
)

// Options change the behaviour of a Client. The zero value selects defaults.
type Options struct {
	// RetransmitInterval is the time to the first retransmission; later ones double it
	// up to MaxRetransmit. Default 60 ms, several round trips of 6 ms.
	RetransmitInterval time.Duration
	// MaxRetransmitInterval bounds the interval; default 500 ms.
	MaxRetransmitInterval time.Duration
	// KeepAliveInterval is the interval of keep-alives on feeds; default 1 s.
	KeepAliveInterval time.Duration
	// FeedTimeout is the silence after which a feed is broken; default 5 s.
	FeedTimeout time.Duration
	// NoToken makes the client echo no route token, as a client would whose
	// protocol has no room for it.
	NoToken bool
	// Seed starts the random source of flow identifiers and jitter.
	Seed uint64
}

func (o Options) withDefaults() Options {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&o.RetransmitInterval, 60*time.Millisecond)
	def(&o.MaxRetransmitInterval, 500*time.Millisecond)
	def(&o.KeepAliveInterval, time.Second)
	def(&o.FeedTimeout, 5*time.Second)
	return o
}

// Client opens flows over one link. It is safe for concurrent use.
type Client struct {
	link Link
	opts Options

	mu    sync.Mutex
	flows map[uint64]*Flow
	rnd   *rand.Rand
}

// New starts a client on a link. Close ends it.
func New(link Link, opts Options) *Client {
	c := &Client{
		link:  link,
		opts:  opts.withDefaults(),
		flows: make(map[uint64]*Flow),
		rnd:   rand.New(rand.NewPCG(opts.Seed, 2)),
	}
	go c.receive()
	return c
}

// Close closes the link. Flows that are open fail.
func (c *Client) Close() error {
	c.mu.Lock()
	flows := c.flows
	c.flows = make(map[uint64]*Flow)
	c.mu.Unlock()
	for _, f := range flows {
		f.fail(&BrokenError{Reason: packet.ReasonShutdown})
	}
	return c.link.Close()
}

// Call opens a flow, runs one request on it and closes it. The error is a
// NotRunError, an UnknownError, or nil with the whole answer.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, payload []byte) ([]byte, error) {
	f, err := c.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return f.Do(ctx, payload)
}

// Open opens a flow. Opening runs nothing, so every error is a NotRunError.
func (c *Client) Open(ctx context.Context, address netip.AddrPort) (*Flow, error) {
	f := c.newFlow(address)
	err := f.open(ctx)
	if err != nil {
		c.drop(f)
		return nil, err
	}
	return f, nil
}

func (c *Client) newFlow(address netip.AddrPort) *Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &Flow{
		c:        c,
		id:       c.rnd.Uint64() | 1,
		address:  address,
		accepted: make(chan struct{}),
		broken:   make(chan struct{}),
		pushes:   make(chan []byte, pushBuffer),
		acked:    make(chan struct{}, 1),
		requests: make(map[uint64]*request),
	}
	c.flows[f.id] = f
	return f
}

func (c *Client) drop(f *Flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.id)
}

// receive delivers datagrams to flows until the link is closed.
func (c *Client) receive() {
	var d wire.Decoder
	buf := make([]byte, 1<<16)
	for {
		n, err := c.link.Receive(buf)
		if err != nil {
			return
		}
		var p packet.Packet
		if d.Decode(buf[:n], &p) != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Flow]
		c.mu.Unlock()
		if f != nil && f.address == p.Address {
			f.deliver(&p, d.Token())
		}
	}
}

// interval returns the time to the next retransmission, with jitter so that
// clients that lost packets together do not return together.
func (c *Client) interval(attempt uint32) time.Duration {
	d := c.opts.RetransmitInterval << min(attempt-1, 8)
	d = min(d, c.opts.MaxRetransmitInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.rnd.Int64N(int64(d)/4+1))
}
