package client

import (
	"context"
	"time"

	"egretdock/core/packet"
)

// Send uploads one chunk and waits until the upstream has it. The error is a
// BrokenError or that of ctx.
func (f *Flow) Send(ctx context.Context, chunk []byte) error {
	f.mu.Lock()
	f.sendSeq++
	seq := f.sendSeq
	f.mu.Unlock()
	for attempt := uint32(1); ; attempt++ {
		f.send(&packet.Data{Seq: seq, Payload: chunk})
		ok, err := f.awaitAck(ctx, seq, f.c.interval(attempt))
		if ok || err != nil {
			return err
		}
	}
}

// awaitAck reports whether seq was acknowledged within d.
func (f *Flow) awaitAck(ctx context.Context, seq uint64, d time.Duration) (bool, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		f.mu.Lock()
		done := f.ackSeq >= seq
		f.mu.Unlock()
		if done {
			return true, nil
		}
		select {
		case <-f.acked:
		case <-f.broken:
			return false, f.cause()
		case <-ctx.Done():
			return false, ctx.Err()
		case <-timer.C:
			return false, nil
		}
	}
}

func (f *Flow) ack(seq uint64) {
	f.mu.Lock()
	if seq > f.ackSeq {
		f.ackSeq = seq
	}
	f.mu.Unlock()
	select {
	case f.acked <- struct{}{}:
	default:
	}
}

// Receive waits for the next pushed message and keeps the flow open meanwhile.
// The error is a BrokenError or that of ctx.
func (f *Flow) Receive(ctx context.Context) ([]byte, error) {
	silent := time.NewTimer(f.c.opts.FeedTimeout)
	defer silent.Stop()
	for {
		alive := time.NewTimer(f.untilKeepAlive())
		defer alive.Stop()
		select {
		case b := <-f.pushes:
			return b, nil
		case <-alive.C:
			f.keepAlive()
		case <-f.broken:
			return nil, f.cause()
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-silent.C:
			f.fail(&BrokenError{Reason: packet.ReasonDeadline})
		}
	}
}

// untilKeepAlive returns the time until the next keep-alive. It is counted
// over all calls of Receive, since pushes may come more often than it.
func (f *Flow) untilKeepAlive() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.c.opts.KeepAliveInterval - time.Since(f.lastAlive)
}

func (f *Flow) keepAlive() {
	f.mu.Lock()
	f.lastAlive = time.Now()
	seq := f.pushSeq
	f.mu.Unlock()
	f.send(&packet.Ack{Seq: seq})
}

// pushed takes a message that is newer than the last.
func (f *Flow) pushed(d *packet.Data) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Seq <= f.pushSeq {
		return
	}
	f.pushSeq = d.Seq
	b := append([]byte(nil), d.Payload...)
	for {
		select {
		case f.pushes <- b:
			return
		default:
		}
		select {
		case <-f.pushes:
		default:
		}
	}
}
