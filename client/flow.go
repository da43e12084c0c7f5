package client

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/packet"
	"egretdock/io/wire"
)

// pushBuffer is the number of pushed messages that wait for Receive; when it
// is full the oldest is dropped, since a feed's newest message counts.
const pushBuffer = 64

// errNoReply is the cause of an UnknownError at the deadline.
var errNoReply = errors.New("no reply before the deadline")

// Flow is a connection to one upstream. It is safe for concurrent use.
type Flow struct {
	c       *Client
	id      uint64
	address netip.AddrPort

	// accepted is closed once token and handshake are set or refusal is.
	accepted chan struct{}
	// broken is closed once reason is set.
	broken chan struct{}
	pushes chan []byte
	// acked is signalled when ackSeq has grown.
	acked chan struct{}

	mu        sync.Mutex
	token     []byte
	handshake uint32
	refusal   *NotRunError
	reason    error
	nextID    uint64
	requests  map[uint64]*request
	sendSeq   uint64
	ackSeq    uint64
	pushSeq   uint64
	// lastAlive is when the last keep-alive was sent.
	lastAlive time.Time
	closed    bool
}

// ID returns the flow identifier.
func (f *Flow) ID() uint64 { return f.id }

func (f *Flow) open(ctx context.Context) error {
	for attempt := uint32(1); ; attempt++ {
		f.send(&packet.Open{Attempt: attempt, Timeout: left(ctx)})
		timer := time.NewTimer(f.c.interval(attempt))
		select {
		case <-f.accepted:
			timer.Stop()
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.refusal != nil {
				return f.refusal
			}
			return nil
		case <-f.broken:
			timer.Stop()
			return &NotRunError{Reason: packet.ReasonUnknownFlow}
		case <-ctx.Done():
			timer.Stop()
			return &NotRunError{Reason: packet.ReasonDeadline}
		case <-timer.C:
		}
	}
}

// Close ends the flow.
func (f *Flow) Close() {
	f.mu.Lock()
	done := f.closed
	f.closed = true
	f.mu.Unlock()
	if !done {
		f.send(&packet.Close{})
		f.c.drop(f)
	}
}

func (f *Flow) send(b packet.Body) {
	f.mu.Lock()
	p := packet.Packet{Header: packet.Header{Flow: f.id, Address: f.address, Handshake: f.handshake}, Body: b}
	token := f.token
	f.mu.Unlock()
	if f.c.opts.NoToken {
		token = nil
	}
	// A lost datagram and a failed send are the same to the retransmission.
	_ = f.c.link.Send(wire.AppendWithToken(nil, &p, token))
}

func (f *Flow) deliver(p *packet.Packet, token []byte) {
	switch b := p.Body.(type) {
	case *packet.Accept:
		f.accept(p, token)
	case *packet.Answer:
		f.withRequest(b.ID, func(r *request) { r.addPart(b) })
	case *packet.Refuse:
		f.refused(b)
	case *packet.Data:
		f.pushed(b)
	case *packet.Ack:
		f.ack(b.Seq)
	case *packet.Close:
		f.fail(&BrokenError{Reason: packet.ReasonShutdown})
	case *packet.Reset:
		if f.ours(p) {
			f.fail(&BrokenError{Reason: b.Reason})
		}
	case *packet.Open, *packet.Request, *packet.Cancel:
	}
}

// ours reports whether a reset concerns the accepted connection and not a
// second one that another copy of the opening made.
func (f *Flow) ours(p *packet.Packet) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handshake == 0 || p.Handshake == f.handshake
}

// accept takes the first accept. A copy of the opening may have reached a
// second upstream; its connection is closed.
func (f *Flow) accept(p *packet.Packet, token []byte) {
	f.mu.Lock()
	first := f.handshake == 0 && f.refusal == nil
	second := !first && p.Handshake != f.handshake
	if first {
		f.handshake = p.Handshake
		f.token = append([]byte(nil), token...)
		f.lastAlive = time.Now()
		close(f.accepted)
	}
	f.mu.Unlock()
	if second && !f.c.opts.NoToken {
		q := packet.Packet{Header: packet.Header{Flow: f.id, Address: f.address, Handshake: p.Handshake}, Body: &packet.Close{}}
		_ = f.c.link.Send(wire.AppendWithToken(nil, &q, token))
	}
}

func (f *Flow) refused(b *packet.Refuse) {
	e := &NotRunError{Reason: b.Reason, RetryAfter: b.RetryAfter}
	if b.ID != 0 {
		f.withRequest(b.ID, func(r *request) { r.finish(nil, e) })
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handshake == 0 && f.refusal == nil {
		f.refusal = e
		close(f.accepted)
	}
}

// fail breaks the flow once. Requests in progress have an unknown outcome.
func (f *Flow) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reason != nil {
		return
	}
	f.reason = err
	close(f.broken)
}

func left(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return max(time.Until(d), time.Microsecond)
	}
	return 0
}
