package engine

import (
	"time"

	"egretdock/core/admit"
	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/query"
	"egretdock/core/rank"
	"egretdock/core/table"
)

// defaultTimeout is the longest time that work may wait, and the timeout of work
// whose client gives none.
const defaultTimeout = 10 * time.Second

// fromPeer acts on a packet that another balancer relayed.
func (e *Engine) fromPeer(w *WorkerState, now time.Time, r input.Relay) { e.routeToOwner(w, now, r) }

// routeToOwner relays a packet to the owner of its target. If this balancer is
// the owner, or the packet has reached MaxHops, it handles the packet itself.
func (e *Engine) routeToOwner(w *WorkerState, now time.Time, r input.Relay) {
	entry, ok := e.Tables.View().Endpoint(r.Target)
	if !ok {
		e.handleUnknownTarget(w, now, r)
		return
	}
	owner, ok := query.Owner(&e.Tables, entry.Upstream, e.Self.Name, r.Hops > 0)
	if ok && owner.Name != e.Self.Name && r.Hops < input.MaxHops {
		r.Hops++
		w.Out.Add(&effect.ToPeer{To: owner.Peer, Relay: r})
		return
	}
	r.Forced = r.Forced || r.Hops >= input.MaxHops
	e.handleAsOwner(w, now, entry, r)
}

// handleUnknownTarget handles a packet whose target is not in this balancer's
// view: the balancer may lag behind the sender's revision, or the endpoint may
// have been removed before the balancer started. A packet whose route names the
// target was checked by the sender to be of the right service.
func (e *Engine) handleUnknownTarget(w *WorkerState, now time.Time, r input.Relay) {
	if o, ok := r.Packet.Body.(*packet.Open); ok {
		e.tryNextCandidate(w, now, r, o, cmds.QueueUnavailable)
		return
	}
	b, _, reason := query.FindBinding(e.Tables.View(), r.Packet.Address)
	if reason == packet.ReasonNone && r.Packet.Route.Endpoint == r.Target && cmds.EnsureEndpoint(&w.locks, &e.Tables, r.Target, b.Template.Name) {
		e.updateOwnership(w)
		e.routeToOwner(w, now, r)
		return
	}
	w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: r.Packet.Flow, Upstream: r.Target.String(), Detail: "endpoint unknown at this revision"})
}

// handleAsOwner runs the admission of a packet for an upstream that this
// balancer owns.
func (e *Engine) handleAsOwner(w *WorkerState, now time.Time, entry *table.EndpointEntry, r input.Relay) {
	b, class, reason := query.FindBinding(e.Tables.View(), r.Packet.Address)
	if reason != packet.ReasonNone {
		e.rejectUnbound(w, &r.Packet, reason)
		return
	}
	if b.Template.Name != entry.Service {
		w.Out.Add(&effect.Event{Name: "route_refused", Flow: r.Packet.Flow, Customer: b.Params.Customer, Upstream: entry.Upstream.Name, Detail: "endpoint is not in the service of the address"})
		return
	}
	switch body := r.Packet.Body.(type) {
	case *packet.Open:
		it := admissionItem(now, b, class, r.Packet.Flow, 0, body.Timeout)
		e.applyOpenResult(w, now, r, body, cmds.Open(&w.locks, now, entry.State, r, it, e.capacity(), w.Rand))
	case *packet.Request:
		if r.Packet.Route.IsZero() && !r.Forced && !cmds.HasPending(&w.locks, entry.State, r.Packet.Flow) {
			e.tryNextOwner(w, now, b, r)
			return
		}
		it := admissionItem(now, b, class, r.Packet.Flow, body.ID, body.Timeout)
		e.applyRequestResult(w, r, cmds.Request(&w.locks, now, entry.State, r, it, e.capacity(), w.Rand))
	case *packet.Cancel:
		cmds.Cancel(&w.locks, entry.State, admit.Key{Flow: r.Packet.Flow, Request: body.ID})
		w.Out.ToUpstream(r.Target, r.Packet)
	case *packet.Close:
		e.forwardAll(w, cmds.RecordClosed(&w.locks, now, entry.State, r.Packet.Flow))
		w.Out.ToUpstream(r.Target, r.Packet)
	case *packet.Accept, *packet.Answer, *packet.Refuse, *packet.Data, *packet.Ack, *packet.Reset:
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: r.Packet.Flow, Detail: "peer relayed a packet that needs no owner"})
	}
}

// tryNextOwner passes a request without a known route to the owner of the next
// candidate. The owner of the current one holds no grant of the flow and must not
// use capacity for a flow that its upstream may not hold. After the last
// candidate, the request is forced: the upstreams themselves are tried in order.
func (e *Engine) tryNextOwner(w *WorkerState, now time.Time, b *table.Binding, r input.Relay) {
	c := b.Pool.SearchCandidates(r.Packet.Flow)
	r.Tried++
	if next := c.At(int(r.Tried)); next != nil && r.Tried < rank.TopSize {
		r.Target = next.Endpoint
	} else {
		// The pool of a binding is never empty, so that there is a first candidate.
		r.Target, r.Tried, r.Forced = c.At(0).Endpoint, 0, true
	}
	e.routeToOwner(w, now, r)
}

func admissionItem(now time.Time, b *table.Binding, class model.Class, flow, request uint64, timeout time.Duration) admit.Item {
	if timeout <= 0 || timeout > defaultTimeout {
		timeout = defaultTimeout
	}
	return admit.Item{
		Key:      admit.Key{Flow: flow, Request: request},
		Customer: b.Params.Customer,
		Weight:   b.Params.EffectiveWeight(),
		Class:    class,
		Deadline: now.Add(timeout),
	}
}

func (e *Engine) applyOpenResult(w *WorkerState, now time.Time, r input.Relay, o *packet.Open, res cmds.Result) {
	switch res := res.(type) {
	case cmds.Forward:
		w.Out.ToUpstream(r.Target, r.Packet)
	case cmds.Wait:
	case cmds.TryOther:
		e.tryNextCandidate(w, now, r, o, res.Queue)
	case cmds.Reject:
		refuseOpen(w, r.Packet, o, res.Reason, res.RetryAfter)
	}
}

func (e *Engine) applyRequestResult(w *WorkerState, r input.Relay, res cmds.Result) {
	switch res := res.(type) {
	case cmds.Forward:
		w.Out.ToUpstream(r.Target, r.Packet)
	case cmds.Wait:
	case cmds.TryOther:
	case cmds.Reject:
		refuseAtUpstream(w, r, res.Reason, res.RetryAfter)
	}
}

// tryNextCandidate passes an opening to the next candidate. After the last one,
// it returns the opening to the least loaded candidate, which queues or
// refuses it.
func (e *Engine) tryNextCandidate(w *WorkerState, now time.Time, r input.Relay, o *packet.Open, queue uint32) {
	b, _, reason := query.FindBinding(e.Tables.View(), r.Packet.Address)
	if reason != packet.ReasonNone || r.Forced {
		refuseOpen(w, r.Packet, o, packet.ReasonNoUpstream, time.Second)
		return
	}
	if !r.Best.IsValid() || queue < r.BestQueue {
		r.Best, r.BestQueue = r.Target, queue
	}
	r.Tried++
	c := b.Pool.PlacementCandidates(r.Packet.Flow)
	next := c.ForAttempt(int(r.StartIndex), int(r.Tried))
	topTried := r.Tried >= rank.TopSize && r.BestQueue < cmds.QueueEjected
	switch {
	case next != nil && !topTried:
		r.Target = next.Endpoint
	case r.BestQueue != cmds.QueueUnavailable:
		r.Target, r.Forced = r.Best, true
	default:
		refuseOpen(w, r.Packet, o, packet.ReasonNoUpstream, time.Second)
		return
	}
	e.routeToOwner(w, now, r)
}

// capacity reports whether this balancer may track further requests as an owner.
func (e *Engine) capacity() cmds.Capacity { return cmds.Capacity(!e.Tables.Requests.Full()) }
