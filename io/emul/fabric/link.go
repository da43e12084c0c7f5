package fabric

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"egretdock/client"
)

// queueLength bounds the datagrams that wait for Receive; further ones are
// lost, as in a full socket buffer.
const queueLength = 4096

// Link is a client link with faults in both directions. It must be created by
// Wrap.
type Link struct {
	inner client.Link
	in    chan []byte
	done  chan struct{}
	once  sync.Once

	mu      sync.Mutex
	faults  []Fault
	rnd     *rand.Rand
	dropped int
}

// Wrap adds faults to a link. Closing the result closes inner too.
func Wrap(inner client.Link, seed uint64, faults ...Fault) *Link {
	l := &Link{
		inner: inner, in: make(chan []byte, queueLength), done: make(chan struct{}),
		faults: faults, rnd: rand.New(rand.NewPCG(seed, 4)),
	}
	go l.read()
	return l
}

// SetFaults replaces the faults.
func (l *Link) SetFaults(faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Dropped returns the number of datagrams that faults dropped.
func (l *Link) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Send implements client.Link.
func (l *Link) Send(b []byte) error {
	l.deliver(b, func(b []byte) { _ = l.inner.Send(b) })
	return nil
}

// Receive implements client.Link.
func (l *Link) Receive(b []byte) (int, error) {
	select {
	case got := <-l.in:
		return copy(b, got), nil
	case <-l.done:
		return 0, net.ErrClosed
	}
}

// Close implements client.Link.
func (l *Link) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.inner.Close()
}

func (l *Link) read() {
	buf := make([]byte, 1<<16)
	for {
		n, err := l.inner.Receive(buf)
		if err != nil {
			return
		}
		l.deliver(append([]byte(nil), buf[:n]...), l.enqueue)
	}
}

func (l *Link) enqueue(b []byte) {
	select {
	case l.in <- b:
	default:
	}
}

// deliver passes the planned copies of a datagram to fn, which may keep them.
func (l *Link) deliver(b []byte, fn func([]byte)) {
	l.mu.Lock()
	copies := plan(l.rnd, l.faults)
	if len(copies) == 0 {
		l.dropped++
	}
	l.mu.Unlock()
	for _, d := range copies {
		if d <= 0 {
			fn(b)
			continue
		}
		time.AfterFunc(d, func() { fn(b) })
	}
}
