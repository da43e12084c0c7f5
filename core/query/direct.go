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

// TargetLost means that the flow cannot continue and its client should be told.
type TargetLost struct{ Reason string }

func (TargetBackend) target() {}
func (TargetUnknown) target() {}
func (TargetLost) target()    {}

// Resolve finds the instance of a packet of an open flow: the one at which this
// balancer saw the flow open, else the one that its token names. A flow that
// another balancer opened needs no local state.
func Resolve(d *table.DirectView, s *packet.Segment, t table.Track, tracked bool) Target {
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
	b, reason := instanceOf(d, route, s, t, tracked)
	switch {
	case b == nil:
		return TargetUnknown{Reason: reason}
	case b.Status == roster.StatusGone:
		return TargetLost{Reason: "instance_gone"}
	}
	return TargetBackend{Backend: b}
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

func instanceOf(d *table.DirectView, route model.Route, s *packet.Segment, t table.Track, tracked bool) (*table.Backend, string) {
	if tracked && t.State != table.TrackOpening {
		if b, ok := d.Backend(t.Instance); ok {
			return b, ""
		}
	}
	var found *table.Backend
	for _, b := range d.ByToken(s.Token) {
		switch {
		case found == nil:
			found = b
		case route.Serves(b.Instance.Service) && route.Serves(found.Instance.Service):
			return nil, "token_ambiguous"
		case route.Serves(b.Instance.Service):
			found = b
		}
	}
	if found == nil {
		return nil, "token_unknown"
	}
	return found, ""
}
