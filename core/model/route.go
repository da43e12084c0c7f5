package model

import (
	"cmp"
	"net/netip"
	"time"
)

// WeightedService is a service that receives a part of a route's new flows.
type WeightedService struct {
	Service string
	// Weight is positive; new flows are spread in proportion to it.
	Weight int
}

// Route sends the flows of one service address to services. It is immutable.
type Route struct {
	// Name is a label for operators; it is not unique.
	Name string
	// Address is unique in a routing.
	Address netip.AddrPort
	// Services receive the new flows; usually there is one.
	Services []WeightedService
	// Idempotent is true when clients may repeat its requests.
	Idempotent bool
	// Bulk is true when its requests carry large bodies, which are costly to
	// send to another data centre.
	Bulk bool
}

// Serves reports whether the route may send flows to a service.
func (r Route) Serves(service string) bool {
	for _, s := range r.Services {
		if s.Service == service {
			return true
		}
	}
	return false
}

// SelectService returns the service for a flow by a hash of the flow that is
// uniform and the same on all balancers. It returns "" for a route without
// services.
func (r Route) SelectService(hash uint64) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, s := range r.Services {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// Routing is the configuration of routes for opaque flows at one position. It
// is immutable; the zero value routes nothing.
type Routing struct {
	// Position is that of the last change of the configuration.
	Position Position
	// Version is the number that the operator gave it; later ones are higher.
	Version uint64
	// IdleTimeout is the time after which the state of an idle flow may be
	// removed; 0 means never.
	IdleTimeout time.Duration

	routes map[netip.AddrPort]Route
	// removed holds the addresses whose routes were removed, with the time of
	// the removal; never modified in place.
	removed map[netip.AddrPort]time.Time
}

// Route returns the route of a service address.
func (r Routing) Route(a netip.AddrPort) (Route, bool) {
	out, ok := r.routes[a]
	return out, ok
}

// RouteRemoved reports whether an earlier routing had a route for the address
// and this one does not.
func (r Routing) RouteRemoved(a netip.AddrPort) bool {
	_, ok := r.removed[a]
	return ok
}

// Supersedes reports whether r replaces another routing. The version decides
// first, since a restored store shows an older configuration until the operator's
// last one is written again.
func (r Routing) Supersedes(old Routing) bool {
	return cmp.Or(cmp.Compare(r.Version, old.Version), r.Position.Compare(old.Position)) > 0
}

// WithPrevious returns a copy that records which routes of the previous routing
// were removed. Records older than keep are discarded, so that they do not
// accumulate over the life of a process.
func (r Routing) WithPrevious(prev Routing, now time.Time, keep time.Duration) Routing {
	r.removed = make(map[netip.AddrPort]time.Time)
	for a, at := range prev.removed {
		if _, ok := r.routes[a]; !ok && now.Sub(at) < keep {
			r.removed[a] = at
		}
	}
	for a := range prev.routes {
		if _, ok := r.routes[a]; !ok {
			r.removed[a] = now
		}
	}
	return r
}

// Routes returns all routes in no particular order.
func (r Routing) Routes() []Route {
	out := make([]Route, 0, len(r.routes))
	for _, route := range r.routes {
		out = append(out, route)
	}
	return out
}

// Len returns the number of routes.
func (r Routing) Len() int { return len(r.routes) }

// WithRoutes returns a copy with these routes only.
func (r Routing) WithRoutes(routes []Route) Routing {
	r.routes = make(map[netip.AddrPort]Route, len(routes))
	for _, route := range routes {
		r.routes[route.Address] = route
	}
	return r
}
