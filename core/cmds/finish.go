package cmds

import (
	"time"

	"egretdock/core/admit"
	"egretdock/core/health"
	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/packet"
	"egretdock/core/table"
)

// Accepted records that the upstream accepted a flow. The grant stays until
// the first request or until it lapses; a feed needs none.
func Accepted(h *locks.Holder, now time.Time, st *table.Upstream, flow, incarnation uint64) {
	st.Lock(h)
	defer st.Unlock(h)
	observe(st, now, health.Accepted{Incarnation: incarnation})
	k := admit.Key{Flow: flow}
	p, ok := st.Pending[k]
	if !ok {
		return
	}
	if p.BypassesAdmission && !p.Upload {
		st.RemovePending(k)
		return
	}
	p.State = table.PendingAccepted
}

// Answered records that the upstream ran a request and returns the queued work
// that is forwarded now.
func Answered(h *locks.Holder, now time.Time, st *table.Upstream, k admit.Key, incarnation uint64) []input.Relay {
	st.Lock(h)
	defer st.Unlock(h)
	observe(st, now, health.Answered{Incarnation: incarnation})
	p, ok := st.Pending[k]
	if !ok || p.State == table.PendingQueued {
		return nil
	}
	st.Admit.Finish(now, k, admit.Answered{Latency: now.Sub(p.Sent)})
	st.RemovePending(k)
	if open := (admit.Key{Flow: k.Flow}); st.Pending[open] != nil && st.Pending[open].Upload {
		st.RemovePending(open)
	}
	return release(now, st)
}

// Closed releases what the opening of a flow still holds and returns the
// queued work that is forwarded now.
func Closed(h *locks.Holder, now time.Time, st *table.Upstream, flow uint64) []input.Relay {
	st.Lock(h)
	defer st.Unlock(h)
	k := admit.Key{Flow: flow}
	p, ok := st.Pending[k]
	if !ok {
		return nil
	}
	giveUp(now, st, k, p)
	return release(now, st)
}

// giveUp ends an entry without a word from the upstream.
func giveUp(now time.Time, st *table.Upstream, k admit.Key, p *table.Pending) {
	switch {
	case p.State == table.PendingQueued:
		st.Admit.Remove(k)
	case !p.BypassesAdmission:
		st.Admit.Finish(now, k, admit.Abandoned{})
	}
	st.RemovePending(k)
}

// Refused records that the upstream refused work. It returns the refused entry
// when this balancer had forwarded it, and the queued work that is forwarded
// now.
func Refused(h *locks.Holder, now time.Time, st *table.Upstream, k admit.Key, reason packet.Reason, incarnation uint64) (*table.Pending, []input.Relay) {
	st.Lock(h)
	defer st.Unlock(h)
	if reason == packet.ReasonDraining || reason == packet.ReasonShed {
		observe(st, now, health.Refused{Incarnation: incarnation, Draining: reason == packet.ReasonDraining})
	}
	p, ok := st.Pending[k]
	if !ok {
		return nil, nil
	}
	if p.State == table.PendingQueued {
		st.Admit.Remove(k)
	} else if !p.BypassesAdmission {
		st.Admit.Finish(now, k, outcome(reason))
	}
	st.RemovePending(k)
	return p, release(now, st)
}

func outcome(reason packet.Reason) admit.Outcome {
	if reason == packet.ReasonShed {
		return admit.Shed{}
	}
	return admit.Abandoned{}
}

// Cancel drops a queued request. The caller must still cancel it at the
// upstream, since another copy may have been forwarded elsewhere.
func Cancel(h *locks.Holder, st *table.Upstream, k admit.Key) {
	st.Lock(h)
	defer st.Unlock(h)
	if st.Admit.Remove(k) {
		st.RemovePending(k)
	}
}

// Swept is what Sweep found at one upstream.
type Swept struct {
	// Forward is queued work that is forwarded now.
	Forward []input.Relay
	// Dropped is queued work that ended without being forwarded.
	Dropped []Dropped
	// Poll is true when the health endpoint should be asked.
	Poll bool
	// Pending is the number of entries left.
	Pending int
}

// PollInterval is the interval between two questions to a health endpoint. A
// drain that only the endpoint tells is seen within it and the endpoint's lag.
const PollInterval = 500 * time.Millisecond

// Dropped is queued work that is refused.
type Dropped struct {
	Relay      input.Relay
	Reason     packet.Reason
	RetryAfter time.Duration
}

// Sweep lets time pass at one upstream: it drops queued work past its
// deadline, gives up on forwarded work without an answer, and forwards queued
// work for which capacity is free.
func Sweep(h *locks.Holder, now time.Time, st *table.Upstream) Swept {
	st.Lock(h)
	defer st.Unlock(h)
	var out Swept
	for _, d := range st.Admit.Expire(now) {
		if p, ok := st.Pending[d.Item.Key]; ok {
			st.RemovePending(d.Item.Key)
			out.Dropped = append(out.Dropped, Dropped{Relay: p.Relay, Reason: d.Reason, RetryAfter: d.RetryAfter})
		}
	}
	for _, it := range st.Admit.Lapse(now) {
		silent(now, st, it.Key, true)
		st.RemovePending(it.Key)
	}
	for k, p := range st.Pending {
		if p.State != table.PendingQueued && now.After(p.Expires) {
			silent(now, st, k, k.Request == 0)
			giveUp(now, st, k, p)
		}
	}
	out.Forward = release(now, st)
	if out.Poll = !now.Before(st.NextPoll); out.Poll {
		st.NextPoll = now.Add(PollInterval)
	}
	out.Pending = len(st.Pending)
	return out
}

// silent records that the upstream did not answer a forwarded packet.
func silent(now time.Time, st *table.Upstream, k admit.Key, opening bool) {
	if p, ok := st.Pending[k]; ok && p.State == table.PendingForwarded {
		observe(st, now, health.Failed{Incarnation: st.Health.Incarnation(), Opening: opening})
	}
}

// release grants queued work while there is capacity.
func release(now time.Time, st *table.Upstream) []input.Relay {
	var out []input.Relay
	for {
		it, ok := st.Admit.Pop(now)
		if !ok {
			return out
		}
		p, ok := st.Pending[it.Key]
		if !ok {
			st.Admit.Finish(now, it.Key, admit.Abandoned{})
			continue
		}
		p.State, p.Sent = table.PendingForwarded, now
		out = append(out, p.Relay)
	}
}
