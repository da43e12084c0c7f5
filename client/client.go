// Package client opens flows through the load balancer, sends requests, uploads
// data and receives pushed messages.
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

// Options configure a Client. A zero duration selects its default.
type Options struct {
	// RetransmitInterval is the time to the first retransmission; it doubles with
	// each further one up to MaxRetransmitInterval. Default 60 ms, which allows
	// for several round trips of 6 ms.
	RetransmitInterval time.Duration
	// MaxRetransmitInterval bounds the doubled interval, before jitter; default
	// 500 ms.
	MaxRetransmitInterval time.Duration
	// KeepAliveInterval is the time between keep-alives on a feed; default 1 s.
	KeepAliveInterval time.Duration
	// FeedTimeout is the time that Receive waits for a message before it breaks
	// the flow; default 5 s.
	FeedTimeout time.Duration
	// NoToken makes the client omit the route token from its packets, like a
	// client whose protocol has no room for one.
	NoToken bool
	// Seed seeds the generator of flow identifiers and jitter.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&o.RetransmitInterval, 60*time.Millisecond)
	setDefault(&o.MaxRetransmitInterval, 500*time.Millisecond)
	setDefault(&o.KeepAliveInterval, time.Second)
	setDefault(&o.FeedTimeout, 5*time.Second)
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

// New starts a client that reads from the link until Close.
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

// Close breaks all open flows and closes the link.
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
// NotRunError, an UnknownError, or nil with the complete answer.
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
		c.removeFlow(f)
		return nil, err
	}
	return f, nil
}

func (c *Client) newFlow(address netip.AddrPort) *Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &Flow{
		client:   c,
		id:       c.rnd.Uint64() | 1,
		address:  address,
		opened:   make(chan struct{}),
		broken:   make(chan struct{}),
		pushes:   make(chan []byte, maxQueuedPushes),
		acked:    make(chan struct{}, 1),
		requests: make(map[uint64]*request),
	}
	c.flows[f.id] = f
	return f
}

func (c *Client) removeFlow(f *Flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.id)
}

// receive dispatches datagrams to their flows until the link is closed.
// Datagrams that cannot be decoded or belong to no open flow are dropped.
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
			f.handlePacket(&p, d.Token())
		}
	}
}

// retransmitDelay returns the time to the next retransmission. Its jitter keeps
// clients that lost packets at the same time from retransmitting in step.
func (c *Client) retransmitDelay(attempt uint32) time.Duration {
	d := c.opts.RetransmitInterval << min(attempt-1, 8)
	d = min(d, c.opts.MaxRetransmitInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.rnd.Int64N(int64(d)/4+1))
}
