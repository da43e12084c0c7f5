package engine

import (
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/member"
	"egretdock/core/packet"
	"egretdock/core/table"
)

func (e *Engine) tick(w *WorkerState, now time.Time) {
	e.Tables.LastTick.Store(now.UnixNano())
	e.updateMembers(w, now, func(s *member.State) []member.Envelope {
		e.acknowledgeRevision(s)
		return s.Tick(now, w.Rand)
	})
	e.Tables.Probes.Expire(&w.locks, now)
	e.tickOpaqueFlows(w, now)
	o := e.Tables.Ownership()
	e.decayPlacements(now, o)
	pending := 0
	for _, entry := range o.Owned {
		s := e.sweepUpstream(w, now, entry)
		pending += s.Pending
		if s.Poll && entry.Retired == 0 {
			w.Out.Add(&effect.Poll{Upstream: entry.Upstream})
		}
	}
	// Work that was admitted before the upstream got another owner.
	for _, entry := range o.Others {
		if entry.State.HasPending() {
			pending += e.sweepUpstream(w, now, entry).Pending
		}
	}
	e.Tables.Requests.SetCount(pending)
}

// placementsHalfLife is the interval at which the counts of placed openings are
// halved. It equals the window of 10 s over which imbalance is measured.
const placementsHalfLife = 10 * time.Second

func (e *Engine) decayPlacements(now time.Time, o *table.Ownership) {
	last := e.placementsDecayedAt.Load()
	if now.UnixNano()-last < int64(placementsHalfLife) || !e.placementsDecayedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	for _, list := range [][]*table.EndpointEntry{o.Owned, o.Others} {
		for _, entry := range list {
			entry.State.DecayPlacements()
		}
	}
	for _, b := range e.Tables.Direct().Backends() {
		b.State.DecayPlacements()
	}
}

// acknowledgeRevision announces the revision in force to the other members once
// no worker routes by an older one. After that, an endpoint may be assigned to
// another service.
func (e *Engine) acknowledgeRevision(s *member.State) {
	if n := e.Tables.View().Config.Revision; e.Tables.Readers.AllReached(n) {
		s.SetRevision(n)
	}
}

// sweepUpstream handles the timeouts of one upstream: it refuses queued work that
// was dropped and forwards work that was admitted.
func (e *Engine) sweepUpstream(w *WorkerState, now time.Time, entry *table.EndpointEntry) cmds.Swept {
	s := cmds.Sweep(&w.locks, now, entry.State)
	for _, d := range s.Dropped {
		e.refuseQueued(w, d)
	}
	e.forwardAll(w, s.Forward)
	return s
}

// refuseQueued refuses work that was dropped from a queue. An opening is refused
// to its client directly, a request by its upstream (see refuseAtUpstream).
func (e *Engine) refuseQueued(w *WorkerState, d cmds.Dropped) {
	if o, ok := d.Relay.Packet.Body.(*packet.Open); ok {
		refuseOpen(w, d.Relay.Packet, o, d.Reason, d.RetryAfter)
		return
	}
	refuseAtUpstream(w, d.Relay, d.Reason, d.RetryAfter)
}
