package engine

import (
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/packet"
	"egretdock/core/query"
)

func (e *Engine) tick(w *Work, now time.Time) {
	e.Tables.Probes.Expire(&w.locks, now)
	for _, pl := range query.Owned(e.Tables.View(), &e.Tables, e.Self.Name) {
		s := cmds.Sweep(&w.locks, now, pl.State)
		for _, d := range s.Dropped {
			e.drop(w, d)
		}
		e.forwardAll(w, s.Forward)
		if s.Poll && pl.Retired == 0 {
			w.Out.Add(&effect.Poll{Upstream: pl.Upstream})
		}
	}
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
