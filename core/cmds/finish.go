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

// RecordAccepted records that the upstream accepted a flow. Its grant lasts until
// the first request or until it lapses; a feed needs none.
func RecordAccepted(h *locks.Holder, now time.Time, st *table.Upstream, flow, incarnation uint64) {
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

// RecordAnswered records that the upstream ran a request and returns the queued
// work to forward now. Only the admission gets the latency: flows of the own
// protocol are placed by the wait that it estimates.
func RecordAnswered(h *locks.Holder, now time.Time, st *table.Upstream, k admit.Key, incarnation uint64) []input.Relay {
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
	return releaseQueued(now, st)
}

// RecordClosed releases the capacity that the opening of a flow still holds and
// returns the queued work to forward now.
func RecordClosed(h *locks.Holder, now time.Time, st *table.Upstream, flow uint64) []input.Relay {
	st.Lock(h)
	defer st.Unlock(h)
	k := admit.Key{Flow: flow}
	p, ok := st.Pending[k]
	if !ok {
		return nil
	}
	abandon(now, st, k, p)
	return releaseQueued(now, st)
}

// abandon ends an entry without an answer of the upstream.
func abandon(now time.Time, st *table.Upstream, k admit.Key, p *table.Pending) {
	switch {
	case p.State == table.PendingQueued:
		st.Admit.Remove(k)
	case !p.BypassesAdmission:
		st.Admit.Finish(now, k, admit.Abandoned{})
	}
	st.RemovePending(k)
}

// RecordRefused records that the upstream refused work. It returns the refused
// entry, or nil when none is pending here, and the queued work to forward now.
func RecordRefused(h *locks.Holder, now time.Time, st *table.Upstream, k admit.Key, reason packet.Reason, incarnation uint64) (*table.Pending, []input.Relay) {
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
	return p, releaseQueued(now, st)
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

// Swept is the result of Sweep for one upstream.
type Swept struct {
	// Forward is queued work to forward now.
	Forward []input.Relay
	// Dropped is queued work that ended without being forwarded.
	Dropped []Dropped
	// Poll is true when the health endpoint is due to be polled.
	Poll bool
	// Pending is the number of entries left.
	Pending int
}

// PollInterval is the interval between two polls of a health endpoint. A drain
// that only the endpoint reports is seen within this interval plus the delay of
// the endpoint.
const PollInterval = 500 * time.Millisecond

// Dropped is queued work that is refused.
type Dropped struct {
	Relay      input.Relay
	Reason     packet.Reason
	RetryAfter time.Duration
}

// Sweep handles timeouts at one upstream: it drops queued work past its
// deadline, abandons forwarded work without an answer, and forwards queued work
// for which there is capacity.
func Sweep(h *locks.Holder, now time.Time, st *table.Upstream) Swept {
	st.Lock(h)
	defer st.Unlock(h)
	var out Swept
	for _, d := range st.Admit.ExpireQueued(now) {
		if p, ok := st.Pending[d.Item.Key]; ok {
			st.RemovePending(d.Item.Key)
			out.Dropped = append(out.Dropped, Dropped{Relay: p.Relay, Reason: d.Reason, RetryAfter: d.RetryAfter})
		}
	}
	for _, it := range st.Admit.ExpireGrants(now) {
		recordTimeout(now, st, it.Key, true)
		st.RemovePending(it.Key)
	}
	for k, p := range st.Pending {
		if p.State != table.PendingQueued && now.After(p.Expires) {
			recordTimeout(now, st, k, k.Request == 0)
			abandon(now, st, k, p)
		}
	}
	out.Forward = releaseQueued(now, st)
	if out.Poll = !now.Before(st.NextPoll); out.Poll {
		st.NextPoll = now.Add(PollInterval)
	}
	out.Pending = len(st.Pending)
	return out
}

// recordTimeout records that the upstream did not answer a forwarded packet.
func recordTimeout(now time.Time, st *table.Upstream, k admit.Key, opening bool) {
	if p, ok := st.Pending[k]; ok && p.State == table.PendingForwarded {
		observe(st, now, health.Failed{Incarnation: st.Health.Incarnation(), Opening: opening})
	}
}

// releaseQueued grants queued work while there is capacity and returns it.
func releaseQueued(now time.Time, st *table.Upstream) []input.Relay {
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
