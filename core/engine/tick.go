package engine

import (
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/member"
	"egretdock/core/packet"
	"egretdock/core/table"
)

func (e *Engine) tick(w *Work, now time.Time) {
	e.Tables.LastTick.Store(now.UnixNano())
	e.updateMembers(w, now, func(s *member.State) []member.Send {
		e.acknowledge(s)
		return s.Tick(now, w.Rand)
	})
	e.Tables.Probes.Expire(&w.locks, now)
	e.tickDirect(w, now)
	o := e.Tables.Ownership()
	e.fade(now, o)
	pending := 0
	for _, pl := range o.Owned {
		s := e.sweep(w, now, pl)
		pending += s.Pending
		if s.Poll && pl.Retired == 0 {
			w.Out.Add(&effect.Poll{Upstream: pl.Upstream})
		}
	}
	// Work that was admitted before the upstream got another owner.
	for _, pl := range o.Others {
		if pl.State.HasPending() {
			pending += e.sweep(w, now, pl).Pending
		}
	}
	e.Tables.Requests.SetCount(pending)
}

// fadeEvery is the time in which the openings placed by this balancer lose half
// of their weight. Imbalance is judged over windows of 10 s.
const fadeEvery = 10 * time.Second

func (e *Engine) fade(now time.Time, o *table.Ownership) {
	last := e.faded.Load()
	if now.UnixNano()-last < int64(fadeEvery) || !e.faded.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	for _, list := range [][]*table.EndpointEntry{o.Owned, o.Others} {
		for _, pl := range list {
			pl.State.DecayPlacements()
		}
	}
	for _, b := range e.Tables.Direct().Backends() {
		b.State.DecayPlacements()
	}
}

// acknowledge lets gossip carry the revision in force once no worker routes by
// an older one. An endpoint may be given to another service after that.
func (e *Engine) acknowledge(s *member.State) {
	if n := e.Tables.View().Config.Revision; e.Tables.Readers.AllReached(n) {
		s.SetRevision(n)
	}
}

// sweep lets time pass at one upstream.
func (e *Engine) sweep(w *Work, now time.Time, pl *table.EndpointEntry) cmds.Swept {
	s := cmds.Sweep(&w.locks, now, pl.State)
	for _, d := range s.Dropped {
		e.drop(w, d)
	}
	e.forwardAll(w, s.Forward)
	return s
}

// drop refuses queued work. An opening is refused outright; a request only
// through the upstream.
func (e *Engine) drop(w *Work, d cmds.Dropped) {
	if o, ok := d.Relay.Packet.Body.(*packet.Open); ok {
		refuse(w, d.Relay.Packet, o, d.Reason, d.RetryAfter)
		return
	}
	fence(w, d.Relay, d.Reason, d.RetryAfter)
}
