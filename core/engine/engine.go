// Package engine decides what a balancer does with each input. It has one
// entry point; front ends feed inputs and carry out the effects.
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
// safe for concurrent use by workers that each bring their own Work.
type Engine struct {
	// Self is set before first use and never changed.
	Self model.Balancer
	// Members is the timing of failure detection; zero fields take defaults.
	Members member.Config
	// Direct is set before first use and never changed.
	Direct Direct
	// Tables is the shared state; the zero value is a balancer that knows
	// nothing.
	Tables table.Set

	// faded is when the counts of placed openings were last halved, in
	// nanoseconds since the Unix epoch.
	faded atomic.Int64
	// swept is when the tracked flows were last swept.
	swept atomic.Pointer[time.Time]
	// told is when the other balancers were last told of failures.
	told atomic.Pointer[time.Time]
}

// Work is what one worker brings to the engine. It must not be shared between
// goroutines.
type Work struct {
	// Out collects the effects of the current input.
	Out effect.List
	// Rand is the worker's seeded random source.
	Rand *rand.Rand

	locks locks.Holder
}

// NewWork returns the work area of a worker whose random source starts from
// seed.
func NewWork(seed uint64) *Work {
	return &Work{Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Handle reacts to one input and appends the effects to w.Out.
func (e *Engine) Handle(w *Work, now time.Time, in input.Input) {
	switch in := in.(type) {
	case *input.FromClient:
		e.fromClient(w, now, &in.Packet)
	case *input.FromUpstream:
		e.fromUpstream(w, now, in)
	case *input.FromPeer:
		e.fromPeer(w, now, in.Relay)
	case *input.Gossip:
		e.gossip(w, now, in.Message)
	case *input.Configured:
		e.configure(w, in.Config)
	case *input.Hosts:
		e.updateMembers(w, now, func(s *member.State) []member.Send {
			s.SetHosts(now, in.Balancers)
			return nil
		})
	case *input.LoadReport:
		e.report(w, now, in)
	case *input.FlowOpen:
		e.flowOpen(w, now, &in.Segment)
	case *input.FlowContinue:
		e.flowContinue(w, now, &in.Segment)
	case *input.FlowEnd:
		e.flowEnd(w, now, &in.Segment)
	case *input.Routed:
		e.routed(w, now, in)
	case *input.Listed:
		e.listed(w, now, in)
	case *input.ListChanged:
		e.listChanged(w, now, in)
	case *input.StoreChanged:
		e.storeChanged(w, now, in)
	case *input.Wake:
		e.hedge(w, now)
	case *input.Tick:
		e.tick(w, now)
	case *input.Leave:
		e.leave(w, now)
	}
}

func (e *Engine) configure(w *Work, cfg model.Config) {
	if !cmds.Configure(&w.locks, &e.Tables, cfg) {
		return
	}
	e.claim(w)
	w.Out.Add(&effect.Event{Name: "config_in_force", Revision: cfg.Revision})
}

func (e *Engine) report(w *Work, now time.Time, r *input.LoadReport) {
	pl, ok := e.Tables.View().Endpoint(r.Endpoint)
	if !ok {
		return
	}
	sig := health.Report{Incarnation: r.Incarnation, Healthy: r.Healthy, Draining: r.Draining, Slots: r.Slots}
	if cmds.Observe(&w.locks, now, pl.State, sig) {
		w.Out.Add(&effect.Event{Name: "upstream_restarted", Upstream: pl.Upstream.Name})
	}
}

// refuse answers the opening of a flow that nothing has been done for.
func refuse(w *Work, p packet.Packet, o *packet.Open, reason packet.Reason, after time.Duration) {
	p.Route = packet.Route{}
	p.Body = &packet.Refuse{Attempt: o.Attempt, Reason: reason, RetryAfter: after}
	w.Out.ToClient(p)
}

// fence asks the upstream to refuse a request for good. The upstream's word is
// needed because another balancer may have forwarded a copy.
func fence(w *Work, r input.Relay, reason packet.Reason, after time.Duration) {
	req, ok := r.Packet.Body.(*packet.Request)
	if !ok {
		return
	}
	p := r.Packet
	p.Body = &packet.Cancel{ID: req.ID, Attempt: req.Attempt, Reason: reason, RetryAfter: after}
	w.Out.ToUpstream(r.Target, p)
}

func reset(w *Work, p packet.Packet, reason packet.Reason) {
	id, attempt := requestOf(p.Body)
	p.Route = packet.Route{}
	p.Body = &packet.Reset{ID: id, Attempt: attempt, Reason: reason, Routed: true}
	w.Out.ToClient(p)
}

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
