package query

import (
	"time"

	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/roster"
	"egretdock/core/table"
)

// Target is where a packet of an open flow goes.
//
//sumtype:decl
type Target interface{ target() }

// TargetBackend is the flow's instance.
type TargetBackend struct{ Backend *table.Backend }

// TargetUnknown means that the flow's instance is not known. The packet is
// dropped, since any other instance would reset the flow.
type TargetUnknown struct{ Reason string }

// TargetUnconfirmed means that the token is that of an opening and that this
// balancer has not seen the flow open. The flow may be open at the instance of the
// token or at another one that got an opening too, which other balancers may know.
type TargetUnconfirmed struct{}

// TargetLost means that the flow cannot continue and its client should be told.
type TargetLost struct{ Reason string }

func (TargetBackend) target()     {}
func (TargetUnknown) target()     {}
func (TargetUnconfirmed) target() {}
func (TargetLost) target()        {}

// Resolve finds the instance of a packet of an open flow: the one that its token
// names if an instance gets that token only with packets of open flows, else the
// one at which this balancer saw the flow open. A flow that another balancer
// opened needs no local state once its client has got a packet from its instance.
func Resolve(now time.Time, d *table.DirectView, s *packet.Segment, t table.Track, tracked bool) Target {
	if d.Routing.Position.IsZero() {
		return TargetUnknown{Reason: "no_routes"}
	}
	route, ok := d.Routing.Route(s.Flow.Address)
	switch {
	case !ok && d.Routing.RouteRemoved(s.Flow.Address):
		return TargetLost{Reason: "route_removed"}
	case !ok:
		// The route may be newer than the routes of this balancer.
		return TargetUnknown{Reason: "no_route"}
	}
	target := instanceOf(now, d, route, s, t, tracked)
	if b, ok := target.(TargetBackend); ok && b.Backend.Status == roster.StatusGone {
		return TargetLost{Reason: "instance_gone"}
	}
	return target
}

const (
	// overdueFactor is the multiple of an instance's usual latency after which
	// an answer is overdue: the longest requests take five times the mean, and
	// some also wait for a slot.
	overdueFactor = 8
	// minOverdue is the shortest time after which an answer is overdue, well
	// above the 200 ms after which a lost packet is repeated.
	minOverdue = 400 * time.Millisecond
)

// IsOverdue reports whether the answer to a flow's last data has taken too long
// while its instance has answered no other request either.
func IsOverdue(d *table.DirectView, t table.Track, now time.Time) bool {
	if t.State == table.TrackOpening || t.AwaitingSince.IsZero() || t.Overdue {
		return false
	}
	b, ok := d.Backend(t.Instance)
	if !ok {
		return false
	}
	health := b.State.HealthSnapshot()
	return now.Sub(t.AwaitingSince) >= max(minOverdue, overdueFactor*health.Latency(now)) && !health.AnsweredSince(t.AwaitingSince)
}

func instanceOf(now time.Time, d *table.DirectView, route model.Route, s *packet.Segment, t table.Track, tracked bool) Target {
	confirmed, ambiguous := named(route, d.ByToken(s.Token))
	offered, offeredAmbiguous := named(route, d.ByOpeningToken(s.Token))
	if confirmed != nil && offered == nil && !offeredAmbiguous {
		return TargetBackend{Backend: confirmed}
	}
	if tracked && t.State != table.TrackOpening && t.Covers(s) {
		if b, ok := d.Backend(t.Instance); ok {
			return TargetBackend{Backend: b}
		}
	}
	switch {
	case ambiguous || offeredAmbiguous || confirmed != nil && offered != nil:
		return TargetUnknown{Reason: "token_ambiguous"}
	case offered == nil:
		return TargetUnknown{Reason: "token_unknown"}
	case tracked && t.Confirms(now, s, offered.Instance.ID):
		return TargetBackend{Backend: offered}
	}
	return TargetUnconfirmed{}
}

// named returns the only instance of those that a token may name, or the only one
// of them that serves the route. It reports whether several do.
func named(route model.Route, list []*table.Backend) (found *table.Backend, ambiguous bool) {
	for _, b := range list {
		switch {
		case found == nil:
			found = b
		case route.Serves(b.Instance.Service) && route.Serves(found.Instance.Service):
			return nil, true
		case route.Serves(b.Instance.Service):
			found = b
		}
	}
	return found, false
}
