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
	e.Tables.Ticked.Store(now.UnixNano())
	e.updateMembers(w, now, func(s *member.State) []member.Send { return s.Tick(now, w.Rand) })
	e.Tables.Probes.Expire(&w.locks, now)
	o := e.Tables.Ownership()
	for _, pl := range o.Mine {
		if e.sweep(w, now, pl) && pl.Retired == 0 {
			w.Out.Add(&effect.Poll{Upstream: pl.Upstream})
		}
	}
	// Work that was admitted before the upstream got another owner.
	for _, pl := range o.Others {
		if pl.State.Busy() {
			e.sweep(w, now, pl)
		}
	}
}

// sweep lets time pass at one upstream and reports whether its health endpoint
// should be asked.
func (e *Engine) sweep(w *Work, now time.Time, pl *table.Place) bool {
	s := cmds.Sweep(&w.locks, now, pl.State)
	for _, d := range s.Dropped {
		e.drop(w, d)
	}
	e.forwardAll(w, s.Forward)
	return s.Poll
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
