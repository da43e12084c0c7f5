package client

import (
	"context"
	"time"

	"egretdock/core/packet"
)

// Send uploads one chunk and waits until the upstream acknowledges it. The error
// is a BrokenError or that of ctx.
func (f *Flow) Send(ctx context.Context, chunk []byte) error {
	f.mu.Lock()
	f.sendSeq++
	seq := f.sendSeq
	f.mu.Unlock()
	for attempt := uint32(1); ; attempt++ {
		f.send(&packet.Data{Seq: seq, Payload: chunk})
		ok, err := f.awaitAck(ctx, seq, f.client.retransmitDelay(attempt))
		if ok || err != nil {
			return err
		}
	}
}

// awaitAck waits up to d and reports whether seq was acknowledged.
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
			return false, f.brokenError()
		case <-ctx.Done():
			return false, ctx.Err()
		case <-timer.C:
			return false, nil
		}
	}
}

func (f *Flow) handleAck(seq uint64) {
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

// Receive waits for the next pushed message and sends keep-alives meanwhile.
// The error is a BrokenError or that of ctx. Messages that arrived before the flow
// broke are returned first.
func (f *Flow) Receive(ctx context.Context) ([]byte, error) {
	feedTimeout := time.NewTimer(f.client.opts.FeedTimeout)
	defer feedTimeout.Stop()
	for {
		keepAlive := time.NewTimer(f.untilKeepAlive())
		defer keepAlive.Stop()
		select {
		case b := <-f.pushes:
			return b, nil
		case <-keepAlive.C:
			f.keepAlive()
		case <-f.broken:
			select {
			case b := <-f.pushes:
				return b, nil
			default:
				return nil, f.brokenError()
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-feedTimeout.C:
			f.fail(&BrokenError{Reason: packet.ReasonDeadline})
		}
	}
}

// untilKeepAlive returns the time until the next keep-alive. The interval runs on
// across calls of Receive: if each call restarted it, a feed whose messages come
// faster than the interval would send no keep-alives.
func (f *Flow) untilKeepAlive() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.client.opts.KeepAliveInterval - time.Since(f.lastKeepAlive)
}

func (f *Flow) keepAlive() {
	f.mu.Lock()
	f.lastKeepAlive = time.Now()
	seq := f.pushSeq
	f.mu.Unlock()
	f.send(&packet.Ack{Seq: seq})
}

// handleData queues a pushed message and drops one that is not newer than the
// last.
func (f *Flow) handleData(d *packet.Data) {
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
