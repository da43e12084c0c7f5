package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Link is how a proxy treats the connections through it.
type Link uint8

// Links.
const (
	// LinkUp passes bytes.
	LinkUp Link = iota
	// LinkSlow delays bytes by slowBy.
	LinkSlow
	// LinkReset closes connections, new ones too.
	LinkReset
	// LinkSilent takes bytes and passes none, in either direction.
	LinkSilent
	// LinkOneWay passes bytes to the server and none back.
	LinkOneWay
)

var linkNames = [...]string{LinkUp: "up", LinkSlow: "slow", LinkReset: "reset", LinkSilent: "silent", LinkOneWay: "one_way"}

// String returns the name in snake case.
func (l Link) String() string { return linkNames[l] }

// slowBy is 60 times the usual 4 ms of the store.
const slowBy = 240 * time.Millisecond

// proxy passes TCP connections on to a server on loopback.
type proxy struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	link  Link
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{lis: lis, target: target, conns: make(map[net.Conn]struct{})}
	go p.run()
	return p, nil
}

func (p *proxy) addr() string { return p.lis.Addr().String() }

func (p *proxy) state() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// set changes the link. Bytes that were held up are lost with their
// connections, which are closed.
func (p *proxy) set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.link == LinkSilent || p.link == LinkOneWay
	p.link = l
	if l == LinkReset || held {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) close() {
	p.set(LinkReset)
	_ = p.lis.Close()
}

func (p *proxy) run() {
	for {
		c, err := p.lis.Accept()
		if err != nil {
			return
		}
		if p.state() == LinkReset {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.pass(s, c, LinkSilent); done <- struct{}{} }()
	go func() { p.pass(c, s, LinkSilent, LinkOneWay); done <- struct{}{} }()
	<-done
	_, _ = c.Close(), s.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
}

// pass copies bytes and swallows them while the link is one of those named.
func (p *proxy) pass(to io.Writer, from io.Reader, swallow ...Link) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		link := p.state()
		if link == LinkSlow {
			time.Sleep(slowBy)
		}
		lost := false
		for _, l := range swallow {
			lost = lost || l == link
		}
		if lost {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
