//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is a stand-in for a client with one address and many flows.
type client struct {
	bed  *bed
	zone string
	conn *net.UDPConn
	mu   sync.Mutex
	port uint16
	in   map[flowID]chan received
}

type received struct {
	segment
	from netip.AddrPort
}

// run reads the packets of all flows.
func (c *client) run() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		in := c.in[flowID{client: p.dst, route: p.src}]
		c.mu.Unlock()
		select {
		case in <- received{p, from}:
		default:
		}
	}
}

// flow is one flow of a client, used by one goroutine.
type flow struct {
	c *client
	// direct is the balancer that gets the flow's packets, or nil for the one that
	// the routers choose.
	direct *balancer
	// via is the balancer that took the last packet.
	via      *balancer
	id       flowID
	in       chan received
	seq, ack uint32
	// echo is the last one received on the flow.
	echo uint32
	// server is the address of the server whose sequence number was acknowledged.
	server netip.AddrPort
	opened time.Time
}

// feed keeps a flow open for some requests with pauses between them, then opens
// the next one, until the run ends.
func (c *client) feed(rnd *rand.Rand) {
	for !c.bed.over() {
		if f := c.open(rnd); f != nil {
			f.use(rnd)
			c.forget(f)
		}
		c.bed.pause(time.Duration(rnd.IntN(500)) * time.Millisecond)
	}
}

func (c *client) forget(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.in, f.id)
}

// open opens a flow from a new port.
func (c *client) open(rnd *rand.Rand) *flow {
	c.mu.Lock()
	c.port++
	local := c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	f := &flow{c: c, id: flowID{client: netip.AddrPortFrom(local, c.port), route: routeAddr}, in: make(chan received, 64), seq: rnd.Uint32()}
	c.in[f.id] = f.in
	c.mu.Unlock()
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(&segment{seq: f.seq, ack: uint32(i), flags: flagSyn})
		for deadline := time.After(wait); ; {
			p, ok := f.receive(deadline)
			if !ok {
				break
			}
			if p.has(flagRst) {
				c.forget(f)
				return nil
			}
			if p.has(flagSyn) && p.ack == f.seq+1 {
				f.seq, f.ack, f.server, f.opened = f.seq+1, p.seq+1, p.from, time.Now()
				return f
			}
		}
	}
	c.bed.count("opening without an answer")
	c.forget(f)
	return nil
}

// receive returns the next packet of the flow and takes over its echo.
func (f *flow) receive(deadline <-chan time.Time) (received, bool) {
	select {
	case p := <-f.in:
		if !p.has(flagRst) {
			f.echo = p.echo
		}
		return p, true
	case <-deadline:
		return received{}, false
	}
}

func (f *flow) send(p *segment) {
	p.src, p.dst, p.echo = f.id.client, f.id.route, f.echo
	f.via = f.c.bed.forward(f.c, f.id, f.direct, p.encode(true))
}

// use sends requests until the flow is old enough or ends.
func (f *flow) use(rnd *rand.Rand) {
	lifetime := flowTime + time.Duration(rnd.IntN(4000))*time.Millisecond
	for time.Since(f.opened) < lifetime && !f.c.bed.over() {
		if !f.request() {
			return
		}
		if !f.idle(minPause + time.Duration(rnd.Int64N(int64(f.c.bed.maxPause-minPause)))) {
			return
		}
	}
	f.send(&segment{seq: f.seq, ack: f.ack, flags: flagFin | flagAck})
}

// idle waits between two requests. It reports false if the flow ended.
func (f *flow) idle(d time.Duration) bool {
	for deadline := time.After(d); ; {
		p, ok := f.receive(deadline)
		switch {
		case !ok:
			return true
		case p.has(flagRst):
			f.reset(p, "while idle")
			return false
		}
	}
}

// request sends a request and waits for its response. It reports false if the flow
// ended.
func (f *flow) request() bool {
	attempt := f.c.bed.newAttempt()
	text := fmt.Sprintf("GET /feed HTTP/1.1\r\nX-Egretdock-Attempt-Id: %s\r\n\r\n", attempt)
	want := f.seq + uint32(len(text))
	f.c.bed.record("client %s sends %s", f.id.client, attempt)
	end := time.Now().Add(requestDeadline)
	for wait := firstRepeat; time.Now().Before(end); wait = min(2*wait, lastRepeat) {
		f.send(&segment{seq: f.seq, ack: f.ack, flags: flagAck, data: []byte(text)})
		for deadline := time.After(min(wait, time.Until(end))); ; {
			p, ok := f.receive(deadline)
			if !ok {
				break
			}
			if p.has(flagRst) {
				f.reset(p, attempt)
				return false
			}
			if p.seq != f.ack || p.ack != want || len(p.data) == 0 {
				continue
			}
			if !strings.Contains(string(p.data), "/"+attempt+"\r\n") {
				f.c.bed.violate("client %s got a foreign answer to %s", f.id.client, attempt)
			}
			f.seq, f.ack = want, f.ack+uint32(len(p.data))
			f.send(&segment{seq: f.seq, ack: f.ack, flags: flagAck})
			f.c.bed.record("client %s got the answer to %s", f.id.client, attempt)
			f.c.bed.count("answered")
			return true
		}
	}
	f.c.bed.record("client %s got no answer to %s", f.id.client, attempt)
	f.c.bed.count("request without an answer")
	return false
}

// reset records a reset. It breaks the rule if the flow's server did not send it
// and lives.
func (f *flow) reset(p received, when string) {
	switch {
	case f.id.route == droppedAddr:
		f.c.bed.count("reset on the dropped route")
	case !f.via.inTouch():
		f.c.bed.count("reset through a balancer out of touch")
	case p.sum != 0 && p.from == f.server:
		f.c.bed.count("reset by its own server")
	default:
		f.c.bed.violate("client %s, open for %s at the server %s, is reset by %s (system's own reset: %t) through %s, %s",
			f.id.client, time.Since(f.opened).Round(time.Millisecond), f.server, p.from, p.sum == 0, f.via.name, when)
	}
}
