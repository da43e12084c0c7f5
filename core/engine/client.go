package engine

import (
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/query"
	"egretdock/core/rank"
	"egretdock/core/table"
)

// probeTimeout is how long a packet without a known route waits for the reply
// of a candidate. A round trip to an upstream takes about 3 ms.
const probeTimeout = 500 * time.Millisecond

func (e *Engine) fromClient(w *WorkerState, now time.Time, p *packet.Packet) {
	v := e.Tables.View()
	b, class, reason := query.FindBinding(v, p.Address)
	if reason != packet.ReasonNone {
		e.rejectUnbound(w, p, reason)
		return
	}
	switch body := p.Body.(type) {
	case *packet.Open:
		e.openFromClient(w, now, b, p, body)
	case *packet.Request, *packet.Cancel, *packet.Data, *packet.Ack, *packet.Close:
		e.routePacket(w, now, v, b, class.Kind, p)
	case *packet.Accept, *packet.Answer, *packet.Refuse, *packet.Reset:
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Customer: b.Params.Customer, Detail: "client sent a packet of an upstream"})
	}
}

// rejectUnbound refuses the opening of a flow to an unknown address and drops
// other packets. A request is not refused, because it may have been forwarded by
// another balancer and have run.
func (e *Engine) rejectUnbound(w *WorkerState, p *packet.Packet, reason packet.Reason) {
	if o, ok := p.Body.(*packet.Open); ok {
		refuseOpen(w, *p, o, reason, time.Second)
		return
	}
	w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Detail: reason.String()})
}

func (e *Engine) openFromClient(w *WorkerState, now time.Time, b *table.Binding, p *packet.Packet, o *packet.Open) {
	if wait, ok := cmds.UseOpening(&w.locks, now, &e.Tables, b); !ok {
		refuseOpen(w, *p, o, packet.ReasonLimit, wait)
		return
	}
	c := b.Pool.PlacementCandidates(p.Flow)
	start, ok := e.leastPlacedCandidate(&c)
	if !ok {
		refuseOpen(w, *p, o, packet.ReasonNoUpstream, time.Second)
		return
	}
	e.routeToOwner(w, now, input.Relay{Packet: *p, Target: c.At(start).Endpoint, StartIndex: uint8(start)})
}

// leastPlacedCandidate returns the index of the candidate to which this balancer
// has sent the fewest openings recently. Each balancer spreads its own openings
// evenly, which balances the upstreams without communication.
func (e *Engine) leastPlacedCandidate(c *table.Candidates) (int, bool) {
	v := e.Tables.View()
	var best *table.Upstream
	start := 0
	for i := range min(rank.TopSize, c.Len()) {
		entry, ok := v.Endpoint(c.At(i).Endpoint)
		if !ok {
			continue
		}
		if best == nil || entry.State.RecentPlacements() < best.RecentPlacements() {
			best, start = entry.State, i
		}
	}
	if best == nil {
		return 0, false
	}
	best.CountPlacement()
	return start, true
}

// routePacket routes a packet of an established flow. A payload that exceeds the
// customer's byte rate is dropped, and the client retransmits it.
func (e *Engine) routePacket(w *WorkerState, now time.Time, v *table.View, b *table.Binding, kind model.ClassKind, p *packet.Packet) {
	if !cmds.UseBytes(&w.locks, now, &e.Tables, b, payloadLen(p.Body)) {
		return
	}
	r, result := query.FindRoute(&e.Tables, v, &w.locks, now, b, p)
	switch result {
	case query.LookupRouted:
		p.Route = r
		e.forwardRouted(w, now, kind, p)
	case query.LookupSearch:
		e.probeCandidate(w, now, b, *p, 0)
	case query.LookupRemoved:
		if cmds.EnsureEndpoint(&w.locks, &e.Tables, r.Endpoint, b.Template.Name) {
			e.updateOwnership(w)
			e.forwardRouted(w, now, kind, p)
		}
	case query.LookupForeign:
		w.Out.Add(&effect.Event{Name: "route_refused", Flow: p.Flow, Customer: b.Params.Customer, Upstream: r.Endpoint.String(), Detail: "endpoint is not in the service of the address"})
		resetClientFlow(w, *p, packet.ReasonUnknownFlow)
	}
}

// forwardRouted forwards a packet with a known route. Requests, cancels and
// closes of flows other than feeds go through the owner of the upstream, which
// does the admission; all other packets go directly to the upstream.
func (e *Engine) forwardRouted(w *WorkerState, now time.Time, kind model.ClassKind, p *packet.Packet) {
	_, closing := p.Body.(*packet.Close)
	if requiresAdmission(p.Body) || closing && kind != model.KindFeed {
		e.routeToOwner(w, now, input.Relay{Packet: *p, Target: p.Route.Endpoint})
		return
	}
	w.Out.ToUpstream(p.Route.Endpoint, *p)
}

func payloadLen(b packet.Body) int {
	switch b := b.(type) {
	case *packet.Request:
		return len(b.Payload)
	case *packet.Data:
		return len(b.Payload)
	default:
		return 0
	}
}

// requiresAdmission reports whether a packet of an established flow is subject to
// admission.
func requiresAdmission(b packet.Body) bool {
	switch b.(type) {
	case *packet.Request, *packet.Cancel:
		return true
	default:
		return false
	}
}

// probeCandidate sends a packet without a known route to the candidate at index
// tried. A reset from the candidate proves that it does not hold the flow. A
// request goes through the owners of the candidates: tryNextOwner looks for the
// owner that holds a grant of the flow, and without one the request is sent to
// one candidate after another.
func (e *Engine) probeCandidate(w *WorkerState, now time.Time, b *table.Binding, p packet.Packet, tried int) {
	c := b.Pool.SearchCandidates(p.Flow)
	u := c.At(tried)
	if u == nil {
		// The flow is not reset: this balancer may lag behind a revision that
		// added the flow's upstream, and the client's next retransmission may
		// reach another balancer.
		w.Out.Add(&effect.Event{Name: "flow_not_found", Flow: p.Flow, Customer: b.Params.Customer})
		return
	}
	if _, ok := p.Body.(*packet.Request); ok {
		e.routeToOwner(w, now, input.Relay{Packet: p, Target: u.Endpoint, Tried: uint8(tried), Forced: tried > 0})
		return
	}
	id, _ := requestOf(p.Body)
	k := table.ProbeKey{FlowKey: table.FlowKey{Flow: p.Flow, Binding: b.ID}, Request: id}
	pr := &table.Probe{Packet: p.Clone(), Tried: tried, Target: u.Endpoint, Expires: now.Add(probeTimeout)}
	if e.Tables.Probes.Put(&w.locks, k, pr) {
		w.Out.ToUpstream(u.Endpoint, p)
	}
}
