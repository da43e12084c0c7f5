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

// TargetUnknown means that nothing is known of the flow's instance, so that the
// packet is dropped: another instance would reset the flow.
type TargetUnknown struct{ Reason string }

// TargetLost means that the flow can't go on and its client should learn so.
type TargetLost struct{ Reason string }

func (TargetBackend) target() {}
func (TargetUnknown) target() {}
func (TargetLost) target()    {}

// Resolve finds the instance of a packet of an open flow: the one that this
// balancer has seen the flow open at, else the one that its token names. It
// depends on no local state for a flow that another balancer opened.
func Resolve(d *table.DirectView, s *packet.Segment, t table.Track, tracked bool) Target {
	if d.Routing.Revision == 0 {
		return TargetUnknown{Reason: "no_routes"}
	}
	route, ok := d.Routing.Route(s.Flow.Address)
	switch {
	case !ok && d.Routing.Dropped(s.Flow.Address):
		return TargetLost{Reason: "route_removed"}
	case !ok:
		// The route may be newer than what this balancer knows.
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
	// overdueTimes is the multiple of an instance's usual latency from which an
	// answer is overdue: the longest requests take five times the mean, and some
	// wait for a slot besides.
	overdueTimes = 8
	// overdueLeast is well above a repeat of a lost packet after 200 ms.
	overdueLeast = 400 * time.Millisecond
)

// IsOverdue reports whether the answer to a flow's last data has taken too long
// while its instance answered nothing else.
func IsOverdue(d *table.DirectView, t table.Track, now time.Time) bool {
	if t.State == table.TrackOpening || t.AwaitingSince.IsZero() || t.Overdue {
		return false
	}
	b, ok := d.Backend(t.Instance)
	if !ok {
		return false
	}
	judged := b.State.HealthSnapshot()
	return now.Sub(t.AwaitingSince) >= max(overdueLeast, overdueTimes*judged.Latency(now)) && !judged.AnsweredSince(t.AwaitingSince)
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
