package engine

import (
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/query"
	"egretdock/core/table"
)

const (
	// flowQueryInterval is the shortest time between two questions about one flow.
	// It is below the 200 ms after which a client first repeats a packet.
	flowQueryInterval = 100 * time.Millisecond
	// maxFlowQueries is the highest number of flows that a balancer asks about
	// between two ticks, so that packets with made-up tokens don't load the others.
	maxFlowQueries = 20
	// maxReportsToNew is the highest number of flows that a balancer reports to one
	// that is new.
	maxReportsToNew = 16
	// maxHeldPackets is the highest number of packets that are held between two
	// ticks. With the 2 s after which they are removed, and 1.2 KB each, they take
	// less than 7 MB.
	maxHeldPackets = 256
)

// reportOpenFlow tells other balancers where a flow is open if another instance
// may still answer its opening. The client then returns the token of that answer,
// and the balancer that takes its packets next would not know the flow's instance.
func (e *Engine) reportOpenFlow(w *WorkerState, f packet.FlowID, t table.Track) {
	for _, b := range query.FlowKeepers(e.Tables.Members(), e.Self, f) {
		e.sendFlowReport(w, b, f, t)
	}
}

// reportOpenFlows tells other balancers of all flows that reportOpenFlow reports
// or that others have reported. A balancer that stops hands them over with it.
func (e *Engine) reportOpenFlows(w *WorkerState, now time.Time) {
	for f, t := range cmds.ContestedFlows(&w.locks, now, &e.Tables, e.Direct.FlowLifetime) {
		e.reportOpenFlow(w, f, t)
	}
}

// reportFlowsToNew tells the balancers of the own data centre that are new of the
// flows in their handshake and of those that reportOpenFlow reports. The routers
// move some of them there at once, while a new balancer knows none to ask yet.
func (e *Engine) reportFlowsToNew(w *WorkerState, now time.Time, before member.View) {
	var flows map[packet.FlowID]table.Track
	for _, b := range query.LocalPeers(e.Tables.Members(), e.Self) {
		if old, ok := before.Get(b.Name); ok && old.Incarnation == b.Incarnation {
			continue
		}
		if flows == nil {
			flows = cmds.UnsettledFlows(&w.locks, now, &e.Tables, e.Direct.FlowLifetime)
		}
		n := 0
		for f, t := range flows {
			if n++; n > maxReportsToNew {
				break
			}
			e.sendFlowReport(w, b, f, t)
		}
	}
}

func (e *Engine) sendFlowReport(w *WorkerState, to model.Balancer, f packet.FlowID, t table.Track) {
	m := &member.FlowReport{Header: member.Header{From: e.Self}, Flow: f, Start: t.Start, Instances: t.Tried()}
	if t.State != table.TrackOpening {
		m.Open, m.Instances = true, []uint64{t.Instance}
	}
	w.Out.Add(&effect.Gossip{To: to.Peer, Message: m})
}

// holdSegment keeps a packet until the instance of its flow is known. It asks
// other balancers unless the client's first data is probably on its way.
func (e *Engine) holdSegment(w *WorkerState, now time.Time, s *packet.Segment, t table.Track) {
	room := e.heldPackets.Add(1) <= maxHeldPackets
	if !cmds.HoldSegment(&w.locks, now, &e.Tables, s, t, room, flowQueryInterval) || e.flowQueries.Add(1) > maxFlowQueries {
		return
	}
	if t.Waited {
		w.Out.Add(&effect.Wake{After: table.ReportTime})
	}
	m := &member.FlowQuery{Header: member.Header{From: e.Self}, Flow: s.Flow}
	for _, b := range query.FlowWitnesses(e.Tables.Members(), e.Self, s.Flow) {
		w.Out.Add(&effect.Gossip{To: b.Peer, Message: m})
	}
}

// releaseHeld handles the packets again that were held for a flow.
func (e *Engine) releaseHeld(w *WorkerState, now time.Time, f packet.FlowID) {
	for _, s := range cmds.TakeHeld(&w.locks, &e.Tables, f) {
		e.flowContinue(w, now, &s)
	}
}

// releaseUnclaimed handles the packets again that were held because the process did
// not run, once no other balancer has claimed their flows.
func (e *Engine) releaseUnclaimed(w *WorkerState, now time.Time) {
	unclaimed := e.Tables.Tracks.Waiting(&w.locks, func(_ packet.FlowID, t table.Track) bool {
		return t.Waited && len(t.Held) > 0 && now.Sub(t.Asked) >= table.ReportTime
	})
	for _, f := range unclaimed {
		e.releaseHeld(w, now, f)
	}
}

// receiveFlowQuery answers with what this balancer knows of a flow, if anything.
func (e *Engine) receiveFlowQuery(w *WorkerState, m *member.FlowQuery) {
	if t, ok := e.Tables.Tracks.Get(&w.locks, m.Flow); ok && t.StartKnown && !t.IsUnknown() {
		e.sendFlowReport(w, m.From, m.Flow, t)
	}
}

// receiveFlowReport records what another balancer knows of a flow.
func (e *Engine) receiveFlowReport(w *WorkerState, now time.Time, m *member.FlowReport) {
	if !cmds.ApplyFlowReport(&w.locks, now, &e.Tables, m, e.Direct.FlowLifetime) {
		return
	}
	ev := &effect.Event{Name: "flow_reported", Client: m.Flow.Client, Address: m.Flow.Address, Detail: "opening from=" + m.From.Name}
	if m.Open {
		ev.Detail = "open from=" + m.From.Name
	}
	if b, ok := e.Tables.Direct().Backend(m.Instances[0]); ok {
		ev.Upstream, ev.Service = b.Instance.Name, b.Instance.Service
	}
	w.Out.Add(ev)
	e.releaseHeld(w, now, m.Flow)
}
