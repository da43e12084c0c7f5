package cmds

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/health"
	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/roster"
	"egretdock/core/table"
)

// Route puts routes in force unless newer ones are, and notes that the store
// confirmed them. Dropped routes are remembered for keep. It reports whether the
// routes changed.
func Route(h *locks.Holder, now time.Time, s *table.Set, in *input.Routed, keep time.Duration) bool {
	changed := false
	s.UpdateDirect(h, func(d *table.DirectView) *table.DirectView {
		if in.Routing.Revision > d.Routing.Revision {
			d, changed = d.WithRouting(in.Routing.WithPrevious(d.Routing, now, keep)), true
		}
		return d.WithRoutingConfirmed(latest(d.RoutingConfirmed, now.Add(-in.Age)))
	})
	return changed
}

// Roster replaces the instances by fn's result as seen from a locality. fn
// reports false to keep them.
func Roster(h *locks.Holder, s *table.Set, l table.Locality, fn func(roster.Roster) (roster.Roster, bool)) bool {
	return s.UpdateDirect(h, func(d *table.DirectView) *table.DirectView {
		next, ok := fn(d.Roster)
		if !ok {
			return nil
		}
		return d.WithRoster(next, l)
	})
}

// ConfirmRoster notes that the store confirmed the instances at a time.
func ConfirmRoster(h *locks.Holder, at time.Time, s *table.Set) {
	s.UpdateDirect(h, func(d *table.DirectView) *table.DirectView {
		return d.WithRosterConfirmed(latest(d.RosterConfirmed, at))
	})
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// TrackOpening stores that an opening was sent to an instance.
func TrackOpening(h *locks.Holder, s *table.Set, f packet.FlowID, t table.Track, b *table.Backend) {
	b.State.CountPlacement()
	s.Tracks.Put(h, f, t)
}

// TrackOpened stores that a flow is open at an instance, which has answered.
func TrackOpened(h *locks.Holder, now time.Time, s *table.Set, f packet.FlowID, t table.Track, b *table.Backend, long bool) table.Track {
	t = t.WithOpen(b.Instance.ID)
	t.LongLived, t.InstanceBorn = long, b.Instance.Born
	switch stored := s.Tracks.Put(h, f, t); {
	case !stored:
		// A later Put may store it; its end must not be counted then.
		t.LongLived = false
	case long:
		b.State.AddOpenFlows(1)
	}
	b.State.Observe(h, now, health.Accepted{Incarnation: b.Instance.ID})
	return t
}

// TrackSegment stores a packet of an open flow and what it says about the
// instance: repeated data means that the instance has not answered,
// acknowledged data that it has.
func TrackSegment(h *locks.Holder, now time.Time, s *table.Set, seg *packet.Segment, t table.Track, b *table.Backend) table.Observation {
	t, seen := t.WithSegment(now, seg)
	s.Tracks.Put(h, seg.Flow, t)
	switch {
	case seen.Progress:
		b.State.Observe(h, now, health.Answered{Incarnation: b.Instance.ID, Took: seen.Took})
	case seen.Repeated:
		b.State.Observe(h, now, health.Failed{Incarnation: b.Instance.ID})
	}
	return seen
}

// TrackOverdue stores that an answer has taken too long. It reports false when
// the flow has gone on meanwhile.
func TrackOverdue(h *locks.Holder, now time.Time, s *table.Set, f packet.FlowID) (table.Track, bool) {
	t, ok := s.Tracks.Get(h, f)
	if !ok || t.AwaitingSince.IsZero() || t.Overdue {
		return t, false
	}
	t.Overdue = true
	s.Tracks.Put(h, f, t)
	if b, ok := s.Direct().Backend(t.Instance); ok {
		b.State.Observe(h, now, health.Failed{Incarnation: t.Instance})
	}
	return t, true
}

// TakeFindings returns the instances that failed here since the last call; what
// finds no room is left for the next one.
func TakeFindings(s *table.Set) []member.Finding {
	var out []member.Finding
	for id, b := range s.Direct().Backends() {
		if len(out) == member.MaxFindings {
			break
		}
		if n := b.State.TakeUnreportedFailures(); n > 0 {
			out = append(out, member.Finding{Instance: id, Failures: n})
		}
	}
	return out
}

// TakeTold stores what another balancer has found. It returns the instances
// that new flows avoid from now on.
func TakeTold(h *locks.Holder, now time.Time, s *table.Set, from model.Balancer, list []member.Finding) []*table.Backend {
	var out []*table.Backend
	teller := xxhash.Sum64String(from.Name)
	for _, f := range list {
		b, ok := s.Direct().Backend(f.Instance)
		if !ok {
			continue
		}
		before := b.State.HealthSnapshot().Shunned(now)
		b.State.Observe(h, now, health.Told{Teller: teller})
		if !before && b.State.HealthSnapshot().Shunned(now) {
			out = append(out, b)
		}
	}
	return out
}

// Forget removes the track of a flow that has ended.
func Forget(h *locks.Holder, s *table.Set, f packet.FlowID) {
	if t, ok := s.Tracks.Remove(h, f); ok {
		uncount(s.Direct(), t)
	}
}

// closingTime is how long the track of a closing flow is kept for packets that
// are repeated: a sender gives up after eight repeats in some ten seconds, but
// the token serves those that come later.
const closingTime = 2 * time.Second

// SweepTracks removes the tracks of flows that are closed, idle, or were never
// answered.
func SweepTracks(h *locks.Holder, now time.Time, s *table.Set, lifetime time.Duration) {
	d := s.Direct()
	idle := d.Routing.IdleTimeout
	if idle <= 0 {
		idle = lifetime
	}
	s.Tracks.Sweep(h, func(t table.Track) bool {
		age := now.Sub(t.Seen)
		return age > idle || t.State != table.TrackOpen && age > closingTime
	}, func(t table.Track) { uncount(d, t) })
}

func uncount(d *table.DirectView, t table.Track) {
	if b, ok := d.Backend(t.Instance); ok && t.LongLived && t.InstanceBorn == b.Instance.Born {
		b.State.AddOpenFlows(-1)
	}
}
