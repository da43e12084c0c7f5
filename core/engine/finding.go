package engine

import (
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/member"
	"egretdock/core/query"
)

// tellEvery is the interval at which a balancer tells the others of its data
// centre which instances failed, if any did. Each of 35 balancers sends a
// request to an instance every two or three seconds, so that alone they learn
// too late of one that goes down and up.
const tellEvery = 250 * time.Millisecond

// tellPeers is the number of balancers told at a time, so that the cost does not
// grow with the data centre: 5 KB/s while instances fail at every interval. With
// 35 balancers, telling 6 at a time lost twice as many requests to instances that
// go down and up, telling all lost a third as many.
const tellPeers = 12

// tell sends the failures since the last call to some other balancers of the own
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
	near := query.LocalPeers(e.Tables.Members(), e.Self)
	first := w.Rand.IntN(max(1, len(near)))
	for i := range min(tellPeers, len(near)) {
		w.Out.Add(&effect.Gossip{To: near[(first+i)%len(near)].Peer, Message: m})
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
