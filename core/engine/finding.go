package engine

import (
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/member"
	"egretdock/core/query"
)

// findingsInterval is the interval at which a balancer sends the failures of
// instances, if there are any, to others of its data centre. Each of 35 balancers
// sends a request to an instance only every two or three seconds, so without the
// findings of others it detects an intermittent failure too late.
const findingsInterval = 250 * time.Millisecond

// findingsFanout is the number of balancers that get the findings of an interval.
// It keeps the cost independent of the size of the data centre: 5 KB/s while
// instances fail in every interval. With 35 balancers, a fan-out of 6 lost twice
// as many requests to instances that fail intermittently, and a fan-out to all
// lost a third as many.
const findingsFanout = 12

// sendFindings sends the failures since the last call to other balancers of the
// same data centre. Balancers of other data centres get none, because they may
// reach instances that this one can't.
func (e *Engine) sendFindings(w *WorkerState, now time.Time) {
	if last := e.findingsSentAt.Load(); last != nil && now.Sub(*last) < findingsInterval {
		return
	}
	e.findingsSentAt.Store(&now)
	list := cmds.TakeFindings(&e.Tables)
	if len(list) == 0 {
		return
	}
	m := &member.Findings{Header: member.Header{From: e.Self}, List: list}
	neighbours := query.LocalPeers(e.Tables.Members(), e.Self)
	first := w.Rand.IntN(max(1, len(neighbours)))
	for i := range min(findingsFanout, len(neighbours)) {
		w.Out.Add(&effect.Gossip{To: neighbours[(first+i)%len(neighbours)].Peer, Message: m})
	}
}

// receiveFindings applies the findings of another balancer.
func (e *Engine) receiveFindings(w *WorkerState, now time.Time, m *member.Findings) {
	for _, b := range cmds.ApplyPeerFindings(&w.locks, now, &e.Tables, m.From, m.List) {
		at := e.Tables.Direct().Roster.Position
		w.Out.Add(&effect.Event{
			Name: "instance_shunned", Upstream: b.Instance.Name, Service: b.Instance.Service,
			ListRevision: at.Revision, ListEra: at.Era, Detail: "teller=" + m.From.Name,
		})
	}
}
