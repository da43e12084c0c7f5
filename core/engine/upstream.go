package engine

import (
	"time"

	"egretdock/core/admit"
	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/packet"
	"egretdock/core/query"
	"egretdock/core/table"
)

func (e *Engine) fromUpstream(w *Work, now time.Time, in *input.FromUpstream) {
	p := &in.Packet
	pl, ok := e.Tables.View().Endpoint(in.Source)
	if !ok {
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Upstream: in.Source.String(), Detail: "source is not a known upstream"})
		return
	}
	b, _, reason := query.FindBinding(e.Tables.View(), p.Address)
	if reason != packet.ReasonNone || b.Template.Name != pl.Service {
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Upstream: pl.Upstream.Name, Detail: "source does not serve the address"})
		return
	}
	p.Route.Endpoint = in.Source
	if e.searching(w, now, b, p) {
		return
	}
	e.deliver(w, now, pl, b, p)
}

// searching handles the reply to a packet of unknown route. A reset from the
// candidate moves the search on, and searching reports true; any other reply
// shows where the flow is.
func (e *Engine) searching(w *Work, now time.Time, b *table.Binding, p *packet.Packet) bool {
	id, _ := requestOf(p.Body)
	k := table.ProbeKey{FlowKey: table.FlowKey{Flow: p.Flow, Binding: b.ID}, Request: id}
	pr, ok := e.Tables.Probes.Take(&w.locks, k)
	if !ok {
		return false
	}
	if r, lost := p.Body.(*packet.Reset); lost && !r.Routed {
		if pr.Target == p.Route.Endpoint {
			e.search(w, now, b, pr.Packet, pr.Tried+1)
		} else {
			// The reply to an earlier copy, whose candidate is done with.
			e.Tables.Probes.Put(&w.locks, k, pr)
		}
		return true
	}
	cmds.Remember(&w.locks, now, &e.Tables, k.FlowKey, p.Route)
	return false
}

func (e *Engine) deliver(w *Work, now time.Time, pl *table.EndpointEntry, b *table.Binding, p *packet.Packet) {
	key := admit.Key{Flow: p.Flow}
	switch body := p.Body.(type) {
	case *packet.Accept:
		cmds.Accepted(&w.locks, now, pl.State, p.Flow, p.Route.Incarnation)
		cmds.Earn(&w.locks, now, &e.Tables, pl.Service)
		w.Out.ToClient(*p)
	case *packet.Answer:
		key.Request = body.ID
		e.forwardAll(w, cmds.Answered(&w.locks, now, pl.State, key, p.Route.Incarnation))
		w.Out.ToClient(*p)
	case *packet.Refuse:
		key.Request = body.ID
		e.refusedBy(w, now, pl, p, body, key)
	case *packet.Data, *packet.Ack, *packet.Close:
		w.Out.ToClient(*p)
	case *packet.Reset:
		key.Request = body.ID
		e.resetBy(w, now, pl, b, p, body, key)
	case *packet.Open, *packet.Request, *packet.Cancel:
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Upstream: pl.Upstream.Name, Detail: "upstream sent a packet of a client"})
	}
}

// refusedBy handles a refusal. An opening ran nothing and is tried at the next
// candidate; a request stays with its flow, so its refusal goes to the client.
func (e *Engine) refusedBy(w *Work, now time.Time, pl *table.EndpointEntry, p *packet.Packet, body *packet.Refuse, key admit.Key) {
	pending, freed := cmds.Refused(&w.locks, now, pl.State, key, body.Reason, p.Route.Incarnation)
	e.forwardAll(w, freed)
	if key.Request != 0 {
		w.Out.ToClient(*p)
		return
	}
	if pending == nil {
		return
	}
	o, ok := pending.Relay.Packet.Body.(*packet.Open)
	if !ok {
		return
	}
	// A drain ends by itself and is not an overload, so it needs no budget.
	if body.Reason != packet.ReasonDraining && !cmds.Spend(&w.locks, now, &e.Tables, pl.Service) {
		refuse(w, pending.Relay.Packet, o, body.Reason, body.RetryAfter)
		return
	}
	e.pass(w, now, pending.Relay, o, cmds.Unavailable)
}

// resetBy handles the word of an upstream that it does not hold a flow. A
// request whose route was not known is tried at the next candidate; the client
// learns of a reset only when the route was known.
func (e *Engine) resetBy(w *Work, now time.Time, pl *table.EndpointEntry, b *table.Binding, p *packet.Packet, body *packet.Reset, key admit.Key) {
	pending, freed := cmds.Refused(&w.locks, now, pl.State, key, packet.ReasonUnknownFlow, p.Route.Incarnation)
	e.forwardAll(w, freed)
	if body.Routed {
		cmds.ForgetRoute(&w.locks, &e.Tables, table.FlowKey{Flow: p.Flow, Binding: b.ID}, p.Route.Endpoint)
		p.Route = packet.Route{}
		w.Out.ToClient(*p)
		return
	}
	if pending != nil && key.Request != 0 && pending.Relay.Packet.Route.IsZero() {
		e.search(w, now, b, pending.Relay.Packet, int(pending.Relay.Tried)+1)
	}
}

func (e *Engine) forwardAll(w *Work, rs []input.Relay) {
	for _, r := range rs {
		w.Out.ToUpstream(r.Target, r.Packet)
	}
}
