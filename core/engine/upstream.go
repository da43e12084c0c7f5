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

func (e *Engine) fromUpstream(w *WorkerState, now time.Time, in *input.FromUpstream) {
	p := &in.Packet
	entry, ok := e.Tables.View().Endpoint(in.Source)
	if !ok {
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Upstream: in.Source.String(), Detail: "source is not a known upstream"})
		return
	}
	b, _, reason := query.FindBinding(e.Tables.View(), p.Address)
	if reason != packet.ReasonNone || b.Template.Name != entry.Service {
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Upstream: entry.Upstream.Name, Detail: "source does not serve the address"})
		return
	}
	p.Route.Endpoint = in.Source
	if e.handleProbeReply(w, now, b, p) {
		return
	}
	e.handleReply(w, now, entry, b, p)
}

// handleProbeReply handles the reply to a packet that was sent without a known
// route. On a reset it tries the next candidate and returns true: the reply needs
// no further handling. Any other reply shows which upstream holds the flow; its
// route is cached.
func (e *Engine) handleProbeReply(w *WorkerState, now time.Time, b *table.Binding, p *packet.Packet) bool {
	id, _ := requestOf(p.Body)
	k := table.ProbeKey{FlowKey: table.FlowKey{Flow: p.Flow, Binding: b.ID}, Request: id}
	pr, ok := e.Tables.Probes.Take(&w.locks, k)
	if !ok {
		return false
	}
	if r, isReset := p.Body.(*packet.Reset); isReset && !r.RouteKnown {
		if pr.Target == p.Route.Endpoint {
			e.probeCandidate(w, now, b, pr.Packet, pr.Tried+1)
		} else {
			// A late reply of a candidate that was ruled out before.
			e.Tables.Probes.Put(&w.locks, k, pr)
		}
		return true
	}
	cmds.CacheRoute(&w.locks, now, &e.Tables, k.FlowKey, p.Route)
	return false
}

// handleReply updates the admission state for a packet of an upstream and passes
// it to the client.
func (e *Engine) handleReply(w *WorkerState, now time.Time, entry *table.EndpointEntry, b *table.Binding, p *packet.Packet) {
	key := admit.Key{Flow: p.Flow}
	switch body := p.Body.(type) {
	case *packet.Accept:
		cmds.RecordAccepted(&w.locks, now, entry.State, p.Flow, p.Route.Incarnation)
		cmds.CreditRetry(&w.locks, now, &e.Tables, entry.Service)
		w.Out.ToClient(*p)
	case *packet.Answer:
		key.Request = body.ID
		e.forwardAll(w, cmds.RecordAnswered(&w.locks, now, entry.State, key, p.Route.Incarnation))
		w.Out.ToClient(*p)
	case *packet.Refuse:
		key.Request = body.ID
		e.handleRefusal(w, now, entry, p, body, key)
	case *packet.Data, *packet.Ack, *packet.Close:
		w.Out.ToClient(*p)
	case *packet.Reset:
		key.Request = body.ID
		e.handleReset(w, now, entry, b, p, body, key)
	case *packet.Open, *packet.Request, *packet.Cancel:
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Upstream: entry.Upstream.Name, Detail: "upstream sent a packet of a client"})
	}
}

// handleRefusal handles a refusal by an upstream. A refused opening has run
// nothing and is tried at the next candidate. A request can run only where its
// flow is, so its refusal goes to the client.
func (e *Engine) handleRefusal(w *WorkerState, now time.Time, entry *table.EndpointEntry, p *packet.Packet, body *packet.Refuse, key admit.Key) {
	pending, freed := cmds.RecordRefused(&w.locks, now, entry.State, key, body.Reason, p.Route.Incarnation)
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
	// A retry after a refusal by a draining upstream is not charged to the retry
	// budget, since a drain is temporary and not an overload.
	if body.Reason != packet.ReasonDraining && !cmds.SpendRetry(&w.locks, now, &e.Tables, entry.Service) {
		refuseOpen(w, pending.Relay.Packet, o, body.Reason, body.RetryAfter)
		return
	}
	e.tryNextCandidate(w, now, pending.Relay, o, cmds.QueueUnavailable)
}

// handleReset handles a reset, by which an upstream says that it does not hold
// the flow. If the route was known, the reset goes to the client; otherwise a
// request is tried at the next candidate.
func (e *Engine) handleReset(w *WorkerState, now time.Time, entry *table.EndpointEntry, b *table.Binding, p *packet.Packet, body *packet.Reset, key admit.Key) {
	pending, freed := cmds.RecordRefused(&w.locks, now, entry.State, key, packet.ReasonUnknownFlow, p.Route.Incarnation)
	e.forwardAll(w, freed)
	if body.RouteKnown {
		cmds.DropCachedRoute(&w.locks, &e.Tables, table.FlowKey{Flow: p.Flow, Binding: b.ID}, p.Route.Endpoint)
		p.Route = packet.Route{}
		w.Out.ToClient(*p)
		return
	}
	if pending != nil && key.Request != 0 && pending.Relay.Packet.Route.IsZero() {
		e.probeCandidate(w, now, b, pending.Relay.Packet, int(pending.Relay.Tried)+1)
	}
}

func (e *Engine) forwardAll(w *WorkerState, rs []input.Relay) {
	for _, r := range rs {
		w.Out.ToUpstream(r.Target, r.Packet)
	}
}
