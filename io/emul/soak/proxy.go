package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is the state of the link that a proxy emulates.
type Link uint8

// Links.
const (
	// LinkUp forwards bytes.
	LinkUp Link = iota
	// LinkSlow delays bytes by slowBy.
	LinkSlow
	// LinkReset closes all connections, including new ones.
	LinkReset
	// LinkSilent discards bytes in both directions.
	LinkSilent
	// LinkOneWay forwards bytes to the server and discards those to the client.
	LinkOneWay
)

var linkNames = [...]string{LinkUp: "up", LinkSlow: "slow", LinkReset: "reset", LinkSilent: "silent", LinkOneWay: "one_way"}

// String returns the name in snake case.
func (l Link) String() string { return linkNames[l] }

// slowDelay is 60 times the store's usual response time of 4 ms.
const slowDelay = 240 * time.Millisecond

// proxy forwards TCP connections of one balancer to a server on loopback and
// emulates link faults.
type proxy struct {
	target string

	mu    sync.Mutex
	link  Link
	conns map[net.Conn]struct{}
}

func newProxy(target string) *proxy {
	return &proxy{target: target, conns: make(map[net.Conn]struct{})}
}

func (p *proxy) state() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// set changes the link. It closes all connections on a reset, and also when a
// link that discarded bytes changes, because their streams have gaps.
func (p *proxy) set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	discarded := p.link == LinkSilent || p.link == LinkOneWay
	p.link = l
	if l == LinkReset || discarded {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) close() { p.set(LinkReset) }

func (p *proxy) serve(c net.Conn) {
	if p.state() == LinkReset {
		_ = c.Close()
		return
	}
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.forward(s, c, LinkSilent); done <- struct{}{} }()
	go func() { p.forward(c, s, LinkSilent, LinkOneWay); done <- struct{}{} }()
	<-done
	_, _ = c.Close(), s.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
}

// forward copies bytes, except that it discards them while the link is in one of
// the states of discardOn.
func (p *proxy) forward(to io.Writer, from io.Reader, discardOn ...Link) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		link := p.state()
		if link == LinkSlow {
			time.Sleep(slowDelay)
		}
		discard := false
		for _, l := range discardOn {
			discard = discard || l == link
		}
		if discard {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
