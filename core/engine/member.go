package engine

import (
	"time"

	"egretdock/core/effect"
	"egretdock/core/member"
	"egretdock/core/query"
	"egretdock/core/table"
)

// receiveGossip handles a membership message. If the sender has a newer
// configuration, it is fetched from there.
func (e *Engine) receiveGossip(w *WorkerState, now time.Time, m member.Message) {
	switch m := m.(type) {
	case *member.Findings:
		e.receiveFindings(w, now, m)
		return
	case *member.FlowQuery:
		e.receiveFlowQuery(w, m)
		return
	case *member.FlowReport:
		e.receiveFlowReport(w, now, m)
		return
	case *member.Ping, *member.Ack, *member.PingRequest, *member.Pull, *member.Page:
	}
	e.updateMembers(w, now, func(s *member.State) []member.Envelope { return s.Receive(now, m, w.Rand) })
	from, revision := member.Sender(m)
	if revision > e.Tables.View().Config.Revision {
		w.Out.Add(&effect.Fetch{Peer: from, Revision: revision})
	}
}

// updateMembers runs fn on the failure detector and sends the resulting messages.
// When the view of the members changes, it recomputes the ownership.
func (e *Engine) updateMembers(w *WorkerState, now time.Time, fn func(*member.State) []member.Envelope) {
	var sends []member.Envelope
	start := func() *member.State { return member.New(e.Self, e.FailureDetection) }
	before := e.Tables.Members()
	changed := e.Tables.UpdateMembers(&w.locks, now, start, func(s *member.State) { sends = fn(s) })
	for _, s := range sends {
		w.Out.Add(&effect.Gossip{To: s.To.Peer, Message: s.Message})
	}
	if changed {
		e.updateOwnership(w)
		reportMembers(w, before, e.Tables.Members())
		e.reportFlowsToNew(w, now, before)
	}
}

// reportMembers reports each balancer that joined or left the view, or returned
// to it under a new incarnation. A balancer returns after a restart that nobody
// noticed, and when it was suspected or paused and has contradicted that.
func reportMembers(w *WorkerState, before, after member.View) {
	for _, b := range after.Balancers() {
		switch old, known := before.Get(b.Name); {
		case !known:
			w.Out.Add(&effect.Event{Name: "member_joined", Detail: b.Name})
		case old.Incarnation != b.Incarnation:
			w.Out.Add(&effect.Event{Name: "member_returned", Detail: b.Name})
		}
	}
	for _, b := range before.Balancers() {
		if _, ok := after.Get(b.Name); !ok {
			w.Out.Add(&effect.Event{Name: "member_left", Detail: b.Name})
		}
	}
}

// leave announces that this balancer stops. From then on it owns no upstreams,
// and it continues to relay packets until the front end stops it.
func (e *Engine) leave(w *WorkerState, now time.Time) {
	e.Tables.Leaving.Store(true)
	e.reportOpenFlows(w, now)
	e.updateMembers(w, now, func(s *member.State) []member.Envelope {
		s.Leave(now)
		return s.Tick(now, w.Rand)
	})
}

// updateOwnership recomputes which upstreams this balancer owns. It is called
// after each change of the configuration or the members.
func (e *Engine) updateOwnership(w *WorkerState) {
	e.Tables.UpdateOwnership(&w.locks, func(v *table.View, m member.View) *table.Ownership {
		return query.SplitOwnership(v, m, e.Self.Name)
	})
}
