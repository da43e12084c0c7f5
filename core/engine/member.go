package engine

import (
	"time"

	"egretdock/core/effect"
	"egretdock/core/member"
	"egretdock/core/query"
	"egretdock/core/table"
)

// gossip takes in a message of the failure detector. A peer with a newer
// configuration is asked for it.
func (e *Engine) gossip(w *Work, now time.Time, m member.Message) {
	if f, ok := m.(*member.Findings); ok {
		e.takeTold(w, now, f)
		return
	}
	e.updateMembers(w, now, func(s *member.State) []member.Send { return s.Receive(now, m, w.Rand) })
	from, revision := member.Sender(m)
	if revision > e.Tables.View().Config.Revision {
		w.Out.Add(&effect.Fetch{Peer: from, Revision: revision})
	}
}

// updateMembers runs fn on the failure detector and carries the consequences:
// messages to peers and, when the view changed, a new split of ownership.
func (e *Engine) updateMembers(w *Work, now time.Time, fn func(*member.State) []member.Send) {
	var sends []member.Send
	start := func() *member.State { return member.New(e.Self, e.Members) }
	before := e.Tables.Members()
	changed := e.Tables.UpdateMembers(&w.locks, now, start, func(s *member.State) { sends = fn(s) })
	for _, s := range sends {
		w.Out.Add(&effect.Gossip{To: s.To.Peer, Message: s.Message})
	}
	if changed {
		e.claim(w)
		reportMembers(w, before, e.Tables.Members())
	}
}

// reportMembers reports each balancer that joined or left the view.
func reportMembers(w *Work, before, after member.View) {
	for _, b := range after.Balancers() {
		if was, ok := before.Get(b.Name); !ok || was.Incarnation != b.Incarnation {
			w.Out.Add(&effect.Event{Name: "member_joined", Detail: b.Name})
		}
	}
	for _, b := range before.Balancers() {
		if _, ok := after.Get(b.Name); !ok {
			w.Out.Add(&effect.Event{Name: "member_left", Detail: b.Name})
		}
	}
}

// leave announces that this balancer stops. It owns nothing from then on and
// goes on relaying until the front end ends it.
func (e *Engine) leave(w *Work, now time.Time) {
	e.Tables.Leaving.Store(true)
	e.updateMembers(w, now, func(s *member.State) []member.Send {
		s.Leave(now)
		return s.Tick(now, w.Rand)
	})
}

// claim works out which upstreams this balancer owns after a change of the
// configuration or the members.
func (e *Engine) claim(w *Work) {
	e.Tables.UpdateOwnership(&w.locks, func(v *table.View, m member.View) *table.Ownership {
		return query.SplitOwnership(v, m, e.Self.Name)
	})
}
