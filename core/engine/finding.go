package engine

import (
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/member"
)

// tellEvery is the interval at which a balancer tells the others of its data
// centre which instances failed, if any did. Each of 35 balancers sends a
// request to an instance every two or three seconds, so that alone they learn
// too late of one that goes down and up.
const tellEvery = 250 * time.Millisecond

// tell sends the failures since the last call to the other balancers of the own
// data centre. Those of other data centres may reach what this one can't.
func (e *Engine) tell(w *Work, now time.Time) {
	if last := e.told.Load(); last != nil && now.Sub(*last) < tellEvery {
		return
	}
	e.told.Store(&now)
	list := cmds.TakeFindings(&e.Tables)
	if len(list) == 0 {
		return
	}
	m := &member.Findings{Head: member.Head{From: e.Self}, List: list}
	for _, b := range e.Tables.Members().Balancers() {
		if b.DataCentre == e.Self.DataCentre && b.Name != e.Self.Name && b.Fetch.IsValid() {
			w.Out.Add(&effect.Gossip{To: b.Peer, Message: m})
		}
	}
}

// takeTold takes in what another balancer has found.
func (e *Engine) takeTold(w *Work, now time.Time, m *member.Findings) {
	for _, b := range cmds.TakeTold(&w.locks, now, &e.Tables, m.From, m.List) {
		w.Out.Add(&effect.Event{
			Name: "instance_shunned", Upstream: b.Instance.Name, Service: b.Instance.Service,
			List: e.Tables.Direct().Roster.Revision, Detail: "teller=" + m.From.Name,
		})
	}
}
