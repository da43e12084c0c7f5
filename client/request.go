package client

import (
	"context"
	"time"

	"egretdock/core/packet"
)

// request is a request in progress.
type request struct {
	// parts is nil until the first part arrives; then it has one entry for
	// each part, which is nil until that part arrives.
	parts   [][]byte
	missing int
	// done is closed once answer and err are set.
	done   chan struct{}
	ended  bool
	answer []byte
	err    error
}

// maxParts bounds the parts of one answer, so that a corrupt packet cannot make
// the client allocate a huge slice.
const maxParts = 1 << 16

// Do runs one request and returns its complete answer. The error is a
// NotRunError or an UnknownError. When ctx ends first, Do cancels the request
// and waits briefly for the upstream to confirm.
func (f *Flow) Do(ctx context.Context, payload []byte) ([]byte, error) {
	id, r := f.addRequest()
	defer f.removeRequest(id)
	for attempt := uint32(1); ; attempt++ {
		f.send(&packet.Request{ID: id, Attempt: attempt, Timeout: timeLeft(ctx), Payload: payload})
		if f.awaitReply(ctx, id, r, attempt, f.client.retransmitDelay(attempt)) {
			return r.answer, r.err
		}
		if ctx.Err() != nil {
			return f.cancel(ctx, id, attempt, r)
		}
	}
}

// awaitReply waits until the request has ended, ctx ends or d has passed, and
// reports whether the request has ended. When the flow breaks, the request ends
// with an unknown outcome.
func (f *Flow) awaitReply(ctx context.Context, id uint64, r *request, attempts uint32, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.done:
		return true
	case <-f.broken:
		f.withRequest(id, func(r *request) { r.finish(nil, &UnknownError{Attempts: attempts, Cause: f.brokenErr}) })
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// cancelAttempts is the number of Cancel packets that are sent before the
// outcome is reported as unknown.
const cancelAttempts = 3

// cancel asks the upstream not to run a request and waits for the answer or the
// refusal.
func (f *Flow) cancel(ctx context.Context, id uint64, attempts uint32, r *request) ([]byte, error) {
	for n := uint32(1); n <= cancelAttempts; n++ {
		f.send(&packet.Cancel{ID: id, Attempt: attempts, Reason: packet.ReasonCancelled})
		if f.awaitReply(context.WithoutCancel(ctx), id, r, attempts, f.client.retransmitDelay(n)) {
			return r.answer, r.err
		}
	}
	return nil, &UnknownError{Attempts: attempts, Cause: errNoReply}
}

func (f *Flow) addRequest() (uint64, *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	r := &request{done: make(chan struct{})}
	f.requests[f.nextID] = r
	return f.nextID, r
}

func (f *Flow) removeRequest(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, id)
}

func (f *Flow) brokenError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.brokenErr
}

func (f *Flow) withRequest(id uint64, fn func(*request)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.requests[id]; ok {
		fn(r)
	}
}

// addPart stores one part of the answer and finishes the request when the answer
// is complete. Parts may arrive in any order and more than once.
func (r *request) addPart(a *packet.Answer) {
	if r.ended || a.Parts == 0 || a.Parts > maxParts || a.Part >= a.Parts {
		return
	}
	if r.parts == nil {
		r.parts = make([][]byte, a.Parts)
		r.missing = int(a.Parts)
	}
	if len(r.parts) != int(a.Parts) || r.parts[a.Part] != nil {
		return
	}
	r.parts[a.Part] = append([]byte{}, a.Payload...)
	if r.missing--; r.missing > 0 {
		return
	}
	var whole []byte
	for _, p := range r.parts {
		whole = append(whole, p...)
	}
	r.finish(whole, nil)
}

func (r *request) finish(answer []byte, err error) {
	if r.ended {
		return
	}
	r.ended, r.answer, r.err = true, answer, err
	close(r.done)
}
