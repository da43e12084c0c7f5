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

// probeLifetime is how long a packet of unknown route waits for the reply of a
// candidate. A round trip to an upstream takes about 3 ms.
const probeLifetime = 500 * time.Millisecond

func (e *Engine) fromClient(w *Work, now time.Time, p *packet.Packet) {
	v := e.Tables.View()
	b, class, reason := query.FindBinding(v, p.Address)
	if reason != packet.ReasonNone {
		e.unbound(w, p, reason)
		return
	}
	switch body := p.Body.(type) {
	case *packet.Open:
		e.openFromClient(w, now, b, p, body)
	case *packet.Request, *packet.Cancel, *packet.Data, *packet.Ack, *packet.Close:
		e.onFlow(w, now, v, b, class.Kind, p)
	case *packet.Accept, *packet.Answer, *packet.Refuse, *packet.Reset:
		w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Customer: b.Params.Customer, Detail: "client sent a packet of an upstream"})
	}
}

// unbound refuses the opening of a flow for an unknown address. Other packets
// are dropped: a request may have run elsewhere, so nothing can be said of it.
func (e *Engine) unbound(w *Work, p *packet.Packet, reason packet.Reason) {
	if o, ok := p.Body.(*packet.Open); ok {
		refuse(w, *p, o, reason, time.Second)
		return
	}
	w.Out.Add(&effect.Event{Name: "packet_dropped", Flow: p.Flow, Detail: reason.String()})
}

func (e *Engine) openFromClient(w *Work, now time.Time, b *table.Binding, p *packet.Packet, o *packet.Open) {
	if wait, ok := cmds.UseOpening(&w.locks, now, &e.Tables, b); !ok {
		refuse(w, *p, o, packet.ReasonLimit, wait)
		return
	}
	c := b.Pool.PlacementCandidates(p.Flow)
	start, ok := e.leastPlaced(&c)
	if !ok {
		refuse(w, *p, o, packet.ReasonNoUpstream, time.Second)
		return
	}
	e.toOwner(w, now, input.Relay{Packet: *p, Target: c.At(start).Endpoint, Start: uint8(start)})
}

// leastPlaced returns the place of the ranked candidate that this balancer
// sent the fewest openings to of late. Each balancer spreads its own openings
// evenly, which evens out the work of the upstreams without a message.
func (e *Engine) leastPlaced(c *table.Candidates) (int, bool) {
	v := e.Tables.View()
	var best *table.Upstream
	start := 0
	for i := range min(rank.TopSize, c.Len()) {
		pl, ok := v.Endpoint(c.At(i).Endpoint)
		if !ok {
			continue
		}
		if best == nil || pl.State.RecentPlacements() < best.RecentPlacements() {
			best, start = pl.State, i
		}
	}
	if best == nil {
		return 0, false
	}
	best.CountPlacement()
	return start, true
}

// onFlow routes a packet of an established flow. A payload beyond the
// customer's rate is dropped, and the client sends it again later.
func (e *Engine) onFlow(w *Work, now time.Time, v *table.View, b *table.Binding, kind model.ClassKind, p *packet.Packet) {
	if !cmds.UseBytes(&w.locks, now, &e.Tables, b, payloadLen(p.Body)) {
		return
	}
	r, how := query.FindRoute(&e.Tables, v, &w.locks, now, b, p)
	switch how {
	case query.LookupRouted:
		p.Route = r
		e.forward(w, now, kind, p)
	case query.LookupSearch:
		e.search(w, now, b, *p, 0)
	case query.LookupRemoved:
		if cmds.Adopt(&w.locks, &e.Tables, r.Endpoint, b.Template.Name) {
			e.claim(w)
			e.forward(w, now, kind, p)
		}
	case query.LookupForeign:
		w.Out.Add(&effect.Event{Name: "route_refused", Flow: p.Flow, Customer: b.Params.Customer, Upstream: r.Endpoint.String(), Detail: "endpoint is not in the service of the address"})
		reset(w, *p, packet.ReasonUnknownFlow)
	}
}

// forward sends a routed packet on: what concerns admission through the owner
// of the upstream, everything else straight to the upstream.
func (e *Engine) forward(w *Work, now time.Time, kind model.ClassKind, p *packet.Packet) {
	_, closing := p.Body.(*packet.Close)
	if admitted(p.Body) || closing && kind != model.KindFeed {
		e.toOwner(w, now, input.Relay{Packet: *p, Target: p.Route.Endpoint})
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

// admitted reports whether a packet of an established flow is subject to
// admission.
func admitted(b packet.Body) bool {
	switch b.(type) {
	case *packet.Request, *packet.Cancel:
		return true
	default:
		return false
	}
}

// search tries a packet of unknown route at candidate number tried. The reset
// of a candidate proves that the flow is not there. A request goes through the
// owners: first to the one that holds a grant of its flow, if any (seek), else
// to one candidate after another.
func (e *Engine) search(w *Work, now time.Time, b *table.Binding, p packet.Packet, tried int) {
	c := b.Pool.SearchCandidates(p.Flow)
	u := c.At(tried)
	if u == nil {
		// No reset: this balancer may lag behind a revision that added the
		// flow's upstream, and the client's next copy reaches another one.
		w.Out.Add(&effect.Event{Name: "flow_not_found", Flow: p.Flow, Customer: b.Params.Customer})
		return
	}
	if _, ok := p.Body.(*packet.Request); ok {
		e.toOwner(w, now, input.Relay{Packet: p, Target: u.Endpoint, Tried: uint8(tried), Forced: tried > 0})
		return
	}
	id, _ := requestOf(p.Body)
	k := table.ProbeKey{FlowKey: table.FlowKey{Flow: p.Flow, Binding: b.ID}, Request: id}
	pr := &table.Probe{Packet: p.Clone(), Tried: tried, Target: u.Endpoint, Expires: now.Add(probeLifetime)}
	if e.Tables.Probes.Put(&w.locks, k, pr) {
		w.Out.ToUpstream(u.Endpoint, p)
	}
}
