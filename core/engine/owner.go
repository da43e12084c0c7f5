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

// defaultTimeout bounds work whose client states no deadline.
const defaultTimeout = 10 * time.Second

// fromPeer acts on a packet that another balancer relayed.
func (e *Engine) fromPeer(w *Work, now time.Time, r input.Relay) { e.toOwner(w, now, r) }

// toOwner relays a packet to the owner of its target, or acts as the owner.
func (e *Engine) toOwner(w *Work, now time.Time, r input.Relay) {
	pl, ok := e.Tables.View().Endpoint(r.Target)
	if !ok {
		e.missing(w, now, r)
		return
	}
	owner, ok := query.Owner(&e.Tables, pl.Upstream, e.Self.Name, r.Hops > 0)
	if ok && owner.Name != e.Self.Name && r.Hops < input.MaxHops {
		r.Hops++
		w.Out.Add(&effect.ToPeer{To: owner.Peer, Relay: r})
		return
	}
	r.Forced = r.Forced || r.Hops >= input.MaxHops
	e.own(w, now, pl, r)
}

// missing handles a target that this balancer's view lacks. It may lag behind
// the sender's revision, or the endpoint left its service before it started; a
// packet with a route shows that the sender checked the service.
func (e *Engine) missing(w *Work, now time.Time, r input.Relay) {
	if o, ok := r.Packet.Body.(*packet.Open); ok {
		e.pass(w, now, r, o, cmds.Unavailable)
		return
	}
	b, _, reason := query.FindBinding(e.Tables.View(), r.Packet.Address)
	if reason == packet.ReasonNone && r.Packet.Route.Endpoint == r.Target && cmds.Adopt(&w.locks, &e.Tables, r.Target, b.Template.Name) {
		e.claim(w)
		e.toOwner(w, now, r)
		return
	}
	w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: r.Packet.Flow, Upstream: r.Target.String(), Detail: "endpoint unknown at this revision"})
}

// own admits a packet for an upstream that this balancer owns.
func (e *Engine) own(w *Work, now time.Time, pl *table.EndpointEntry, r input.Relay) {
	b, class, reason := query.FindBinding(e.Tables.View(), r.Packet.Address)
	if reason != packet.ReasonNone {
		e.unbound(w, &r.Packet, reason)
		return
	}
	if b.Template.Name != pl.Service {
		w.Out.Add(&effect.Event{Name: "route_refused", Flow: r.Packet.Flow, Customer: b.Params.Customer, Upstream: pl.Upstream.Name, Detail: "endpoint is not in the service of the address"})
		return
	}
	switch body := r.Packet.Body.(type) {
	case *packet.Open:
		it := item(now, b, class, r.Packet.Flow, 0, body.Timeout)
		e.afterOpen(w, now, r, body, cmds.Open(&w.locks, now, pl.State, r, it, e.room(), w.Rand))
	case *packet.Request:
		if r.Packet.Route.IsZero() && !r.Forced && !cmds.Holds(&w.locks, pl.State, r.Packet.Flow) {
			e.seek(w, now, b, r)
			return
		}
		it := item(now, b, class, r.Packet.Flow, body.ID, body.Timeout)
		e.afterRequest(w, r, cmds.Request(&w.locks, now, pl.State, r, it, e.room(), w.Rand))
	case *packet.Cancel:
		cmds.Cancel(&w.locks, pl.State, admit.Key{Flow: r.Packet.Flow, Request: body.ID})
		w.Out.ToUpstream(r.Target, r.Packet)
	case *packet.Close:
		e.forwardAll(w, cmds.Closed(&w.locks, now, pl.State, r.Packet.Flow))
		w.Out.ToUpstream(r.Target, r.Packet)
	case *packet.Accept, *packet.Answer, *packet.Refuse, *packet.Data, *packet.Ack, *packet.Reset:
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: r.Packet.Flow, Detail: "peer relayed a packet that needs no owner"})
	}
}

// seek hands a request of unknown route to the owner of the next candidate,
// since this one has no grant of its flow and must not spend capacity on a
// guess. After the last candidate, they are tried at the upstreams.
func (e *Engine) seek(w *Work, now time.Time, b *table.Binding, r input.Relay) {
	c := b.Pool.SearchCandidates(r.Packet.Flow)
	r.Tried++
	if next := c.At(int(r.Tried)); next != nil && r.Tried < rank.TopSize {
		r.Target = next.Endpoint
	} else if first := c.At(0); first != nil {
		r.Target, r.Tried, r.Forced = first.Endpoint, 0, true
	}
	e.toOwner(w, now, r)
}

func item(now time.Time, b *table.Binding, class model.Class, flow, request uint64, timeout time.Duration) admit.Item {
	if timeout <= 0 || timeout > defaultTimeout {
		timeout = defaultTimeout
	}
	return admit.Item{
		Key:      admit.Key{Flow: flow, Request: request},
		Customer: b.Params.Customer,
		Weight:   b.Params.Share(),
		Class:    class,
		Deadline: now.Add(timeout),
	}
}

func (e *Engine) afterOpen(w *Work, now time.Time, r input.Relay, o *packet.Open, res cmds.Result) {
	switch res := res.(type) {
	case cmds.Forward:
		w.Out.ToUpstream(r.Target, r.Packet)
	case cmds.Wait:
	case cmds.Pass:
		e.pass(w, now, r, o, res.Queue)
	case cmds.Reject:
		refuse(w, r.Packet, o, res.Reason, res.RetryAfter)
	}
}

func (e *Engine) afterRequest(w *Work, r input.Relay, res cmds.Result) {
	switch res := res.(type) {
	case cmds.Forward:
		w.Out.ToUpstream(r.Target, r.Packet)
	case cmds.Wait:
	case cmds.Pass:
	case cmds.Reject:
		fence(w, r, res.Reason, res.RetryAfter)
	}
}

// pass hands an opening to the next candidate. After the last one it goes back
// to the candidate with the shortest queue, which queues or refuses it.
func (e *Engine) pass(w *Work, now time.Time, r input.Relay, o *packet.Open, queue uint32) {
	b, _, reason := query.FindBinding(e.Tables.View(), r.Packet.Address)
	if reason != packet.ReasonNone || r.Forced {
		refuse(w, r.Packet, o, packet.ReasonNoUpstream, time.Second)
		return
	}
	if !r.Best.IsValid() || queue < r.BestQueue {
		r.Best, r.BestQueue = r.Target, queue
	}
	r.Tried++
	c := b.Pool.PlacementCandidates(r.Packet.Flow)
	next := c.ForAttempt(int(r.Start), int(r.Tried))
	tried := r.Tried >= rank.TopSize && r.BestQueue < cmds.Ejected
	switch {
	case next != nil && !tried:
		r.Target = next.Endpoint
	case r.BestQueue != cmds.Unavailable:
		r.Target, r.Forced = r.Best, true
	default:
		refuse(w, r.Packet, o, packet.ReasonNoUpstream, time.Second)
		return
	}
	e.toOwner(w, now, r)
}

// room reports whether this balancer takes further work as an owner.
func (e *Engine) room() cmds.Room { return cmds.Room(!e.Tables.Requests.Full()) }
