// Package query reads the shared tables. Nothing in it changes a table, apart
// from the time of last use in the flow cache.
package query

import (
	"net/netip"
	"time"

	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/table"
)

// FindBinding returns the binding and class of a service address, or the reason
// why there is none.
func FindBinding(v *table.View, a netip.AddrPort) (*table.Binding, model.Class, packet.Reason) {
	if v.Config.Revision == 0 {
		return nil, model.Class{}, packet.ReasonNoConfig
	}
	b, ok := v.Binding(a.Addr())
	if !ok {
		return nil, model.Class{}, packet.ReasonNoAddress
	}
	c, ok := b.Class(a.Port())
	if !ok {
		return nil, model.Class{}, packet.ReasonNoAddress
	}
	return b, c, packet.ReasonNone
}

// Lookup is how the route of a packet was found.
type Lookup uint8

// Lookups.
const (
	// LookupRouted means that the route is known.
	LookupRouted Lookup = iota
	// LookupSearch means that the route is unknown and the candidates of the
	// pool must be tried.
	LookupSearch
	// LookupForeign means that the route leads to another service and must
	// not be followed.
	LookupForeign
	// LookupRemoved means that a token names an endpoint that this balancer
	// has not seen: it left the configuration before the balancer started.
	LookupRemoved
)

// FindRoute finds the route of a packet on an established flow: from its token,
// else from the flow cache.
func FindRoute(s *table.Set, v *table.View, h *locks.Holder, now time.Time, b *table.Binding, p *packet.Packet) (packet.Route, Lookup) {
	r := p.Route
	if r.IsZero() {
		var ok bool
		r, ok = s.Flows.Get(h, now, table.FlowKey{Flow: p.Flow, Binding: b.ID})
		if !ok {
			return packet.Route{}, LookupSearch
		}
	}
	entry, ok := v.Endpoint(r.Endpoint)
	switch {
	case !ok:
		return r, LookupRemoved
	case entry.Service != b.Template.Name:
		return r, LookupForeign
	}
	return r, LookupRouted
}
