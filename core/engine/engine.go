// Package engine decides what a balancer does with each input. Front ends pass
// inputs to Engine.Handle and carry out the effects that it returns.
package engine

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/health"
	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/table"
)

// Engine is the decision logic of one balancer over its shared tables. It is
// safe for concurrent use by workers that each have their own WorkerState.
type Engine struct {
	// Self is set before first use and never changed.
	Self model.Balancer
	// FailureDetection is the timing of failure detection. Zero fields take
	// defaults.
	FailureDetection member.Config
	// Direct is set before first use and never changed.
	Direct DirectConfig
	// Tables is the shared state; the zero value has no configuration, routes,
	// instances or members.
	Tables table.Set

	// placementsDecayedAt is when the counts of placed openings were last halved,
	// in nanoseconds since the Unix epoch.
	placementsDecayedAt atomic.Int64
	// tracksSweptAt is when expired tracked flows were last removed.
	tracksSweptAt atomic.Pointer[time.Time]
	// findingsSentAt is when failure findings were last sent to other balancers.
	findingsSentAt atomic.Pointer[time.Time]
	// resumedAt is when the engine last learnt that the process had not run; nil
	// before the first time.
	resumedAt atomic.Pointer[time.Time]
	// flowQueries counts the flows that others were asked about since the last tick.
	flowQueries atomic.Int32
	// heldPackets counts the packets that were to be held since the last tick.
	heldPackets atomic.Int32
}

// WorkerState is the state of one worker: its effects, random source and held
// locks. It must not be shared between goroutines.
type WorkerState struct {
	// Out collects the effects of the current input.
	Out effect.List
	// Rand is the worker's seeded random source.
	Rand *rand.Rand

	locks locks.Holder
}

// NewWorkerState returns the state of a worker whose random source is seeded
// with seed.
func NewWorkerState(seed uint64) *WorkerState {
	return &WorkerState{Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Handle processes one input and appends the effects to w.Out.
func (e *Engine) Handle(w *WorkerState, now time.Time, in input.Input) {
	switch in := in.(type) {
	case *input.FromClient:
		if p, ok := e.notExpired(w, in.Packet, in.Waited); ok {
			e.fromClient(w, now, &p)
		}
	case *input.FromUpstream:
		e.fromUpstream(w, now, in)
	case *input.FromPeer:
		if p, ok := e.notExpired(w, in.Relay.Packet, in.Waited); ok {
			r := in.Relay
			r.Packet = p
			e.fromPeer(w, now, r)
		}
	case *input.Gossip:
		e.receiveGossip(w, now, in.Message)
	case *input.ConfigReceived:
		e.configure(w, in.Config)
	case *input.Hosts:
		e.updateMembers(w, now, func(s *member.State) []member.Envelope {
			s.SetHosts(now, in.Balancers)
			return nil
		})
	case *input.LoadReport:
		e.handleLoadReport(w, now, in)
	case *input.FlowOpen:
		e.flowOpen(w, now, &in.Segment)
	case *input.FlowContinue:
		e.flowContinue(w, now, &in.Segment)
	case *input.FlowEnd:
		e.flowEnd(w, now, &in.Segment)
	case *input.RoutesConfirmed:
		e.confirmRoutes(w, now, in)
	case *input.InstancesListed:
		e.replaceInstances(w, now, in)
	case *input.InstancesChanged:
		e.changeInstances(w, now, in)
	case *input.StoreAvailability:
		e.setStoreAvailability(w, now, in)
	case *input.Wake:
		e.hedgeOpenings(w, now)
		e.releaseUnclaimed(w, now)
	case *input.Tick:
		e.noteStall(now, in.Stalled)
		e.tick(w, now)
	case *input.Leave:
		e.leave(w, now)
	}
}

// notExpired takes the time that a packet has waited from the time that its sender
// gives it. It reports false for a packet that has expired. Such a packet is dropped
// and not refused, since a copy of it may run at another balancer.
func (*Engine) notExpired(w *WorkerState, p packet.Packet, waited time.Duration) (packet.Packet, bool) {
	if waited == 0 {
		return p, true
	}
	next, ok := p.WithWait(waited)
	if !ok {
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Detail: "expired waited=" + waited.String()})
	}
	return next, ok
}

func (e *Engine) configure(w *WorkerState, cfg model.Config) {
	if !cmds.Configure(&w.locks, &e.Tables, cfg) {
		return
	}
	e.updateOwnership(w)
	w.Out.Add(&effect.Event{Name: "config_in_force", Revision: cfg.Revision})
}

func (e *Engine) handleLoadReport(w *WorkerState, now time.Time, r *input.LoadReport) {
	entry, ok := e.Tables.View().Endpoint(r.Endpoint)
	if !ok {
		return
	}
	report := health.Report{Incarnation: r.Incarnation, Healthy: r.Healthy, Draining: r.Draining, Slots: r.Slots}
	if cmds.Observe(&w.locks, now, entry.State, report) {
		w.Out.Add(&effect.Event{Name: "upstream_restarted", Upstream: entry.Upstream.Name})
	}
}

// refuseOpen refuses the opening of a flow to its client. No upstream may have
// accepted the flow.
func refuseOpen(w *WorkerState, p packet.Packet, o *packet.Open, reason packet.Reason, after time.Duration) {
	p.Route = packet.Route{}
	p.Body = &packet.Refuse{Attempt: o.Attempt, Reason: reason, RetryAfter: after}
	w.Out.ToClient(p)
}

// refuseAtUpstream cancels a request at its upstream, which then refuses it and
// all its copies. Only the upstream can tell that the request has not run,
// since another balancer may have forwarded a copy.
func refuseAtUpstream(w *WorkerState, r input.Relay, reason packet.Reason, after time.Duration) {
	req, ok := r.Packet.Body.(*packet.Request)
	if !ok {
		return
	}
	p := r.Packet
	p.Body = &packet.Cancel{ID: req.ID, Attempt: req.Attempt, Reason: reason, RetryAfter: after}
	w.Out.ToUpstream(r.Target, p)
}

// resetClientFlow tells the client that its flow does not exist.
func resetClientFlow(w *WorkerState, p packet.Packet, reason packet.Reason) {
	id, attempt := requestOf(p.Body)
	p.Route = packet.Route{}
	p.Body = &packet.Reset{ID: id, Attempt: attempt, Reason: reason, RouteKnown: true}
	w.Out.ToClient(p)
}

// requestOf returns the request that a packet belongs to, or zeros if none.
func requestOf(b packet.Body) (id uint64, attempt uint32) {
	switch b := b.(type) {
	case *packet.Request:
		return b.ID, b.Attempt
	case *packet.Cancel:
		return b.ID, b.Attempt
	case *packet.Answer:
		return b.ID, 0
	case *packet.Refuse:
		return b.ID, b.Attempt
	case *packet.Reset:
		return b.ID, b.Attempt
	case *packet.Open, *packet.Accept, *packet.Data, *packet.Ack, *packet.Close:
		return 0, 0
	}
	return 0, 0
}
