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

// maxQueuedPushes bounds the pushed messages that wait for Receive. When the
// queue is full, the oldest message is dropped, because a feed's newest message
// matters most.
const maxQueuedPushes = 64

// errNoReply is the cause of an UnknownError when neither the request nor its
// cancellation was answered.
var errNoReply = errors.New("no reply before the deadline")

// Flow is a connection to one upstream. It is safe for concurrent use.
type Flow struct {
	client  *Client
	id      uint64
	address netip.AddrPort

	// opened is closed once the flow is accepted, with token and handshake set,
	// or refused, with refusal set.
	opened chan struct{}
	// broken is closed once brokenErr is set.
	broken chan struct{}
	pushes chan []byte
	// acked is signalled when an acknowledgement arrives.
	acked chan struct{}

	mu        sync.Mutex
	token     []byte
	handshake uint32
	refusal   *NotRunError
	brokenErr error
	nextID    uint64
	requests  map[uint64]*request
	sendSeq   uint64
	ackSeq    uint64
	pushSeq   uint64
	// lastKeepAlive is when the flow was accepted or the last keep-alive was
	// sent.
	lastKeepAlive time.Time
	closed        bool
}

// ID returns the flow identifier.
func (f *Flow) ID() uint64 { return f.id }

func (f *Flow) open(ctx context.Context) error {
	for attempt := uint32(1); ; attempt++ {
		f.send(&packet.Open{Attempt: attempt, Timeout: timeLeft(ctx)})
		timer := time.NewTimer(f.client.retransmitDelay(attempt))
		select {
		case <-f.opened:
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
	alreadyClosed := f.closed
	f.closed = true
	f.mu.Unlock()
	if !alreadyClosed {
		f.send(&packet.Close{})
		f.client.removeFlow(f)
	}
}

func (f *Flow) send(b packet.Body) {
	f.mu.Lock()
	p := packet.Packet{Header: packet.Header{Flow: f.id, Address: f.address, Handshake: f.handshake}, Body: b}
	token := f.token
	f.mu.Unlock()
	if f.client.opts.NoToken {
		token = nil
	}
	// Retransmission recovers from a failed send as it does from a lost datagram.
	_ = f.client.link.Send(wire.AppendWithToken(nil, &p, token))
}

func (f *Flow) handlePacket(p *packet.Packet, token []byte) {
	switch b := p.Body.(type) {
	case *packet.Accept:
		f.handleAccept(p, token)
	case *packet.Answer:
		f.withRequest(b.ID, func(r *request) { r.addPart(b) })
	case *packet.Refuse:
		f.handleRefuse(b)
	case *packet.Data:
		f.handleData(b)
	case *packet.Ack:
		f.handleAck(b.Seq)
	case *packet.Close:
		f.fail(&BrokenError{Reason: packet.ReasonShutdown})
	case *packet.Reset:
		if f.fromAcceptedConnection(p) {
			f.fail(&BrokenError{Reason: b.Reason})
		}
	case *packet.Open, *packet.Request, *packet.Cancel:
	}
}

// fromAcceptedConnection reports whether a reset concerns the accepted
// connection and not a second one that a retransmitted Open made.
func (f *Flow) fromAcceptedConnection(p *packet.Packet) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handshake == 0 || p.Handshake == f.handshake
}

// handleAccept opens the flow on the first Accept. A retransmitted Open may have
// reached a second upstream; handleAccept closes that connection, unless the
// client sends no tokens and so cannot address it. An Accept without a handshake
// number belongs to no connection and is dropped.
func (f *Flow) handleAccept(p *packet.Packet, token []byte) {
	if p.Handshake == 0 {
		return
	}
	f.mu.Lock()
	first := f.handshake == 0 && f.refusal == nil
	second := !first && p.Handshake != f.handshake
	if first {
		f.handshake = p.Handshake
		f.token = append([]byte(nil), token...)
		f.lastKeepAlive = time.Now()
		close(f.opened)
	}
	f.mu.Unlock()
	if second && !f.client.opts.NoToken {
		q := packet.Packet{Header: packet.Header{Flow: f.id, Address: f.address, Handshake: p.Handshake}, Body: &packet.Close{}}
		_ = f.client.link.Send(wire.AppendWithToken(nil, &q, token))
	}
}

func (f *Flow) handleRefuse(b *packet.Refuse) {
	e := &NotRunError{Reason: b.Reason, RetryAfter: b.RetryAfter}
	if b.ID != 0 {
		f.withRequest(b.ID, func(r *request) { r.finish(nil, e) })
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handshake == 0 && f.refusal == nil {
		f.refusal = e
		close(f.opened)
	}
}

// fail breaks the flow; later calls have no effect. Requests in progress have an
// unknown outcome.
func (f *Flow) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.brokenErr != nil {
		return
	}
	f.brokenErr = err
	close(f.broken)
}

func timeLeft(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return max(time.Until(d), time.Microsecond)
	}
	return 0
}
