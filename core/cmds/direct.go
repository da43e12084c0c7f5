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

// ApplyRouting puts routes in force unless newer ones are, and records when the
// store confirmed them. Removed routes are remembered for keep. It reports
// whether the routes changed.
func ApplyRouting(h *locks.Holder, now time.Time, s *table.Set, in *input.RoutesConfirmed, keep time.Duration) bool {
	changed := false
	s.UpdateDirect(h, func(d *table.DirectView) *table.DirectView {
		if in.Routing.Supersedes(d.Routing) {
			d, changed = d.WithRouting(in.Routing.WithPrevious(d.Routing, now, keep)), true
		}
		return d.WithRoutingConfirmed(latest(d.RoutingConfirmed, now.Add(-in.Age)))
	})
	return changed
}

// UpdateRoster replaces the roster by the result of fn and groups its instances
// as seen from a locality. When fn reports false, the roster stays.
func UpdateRoster(h *locks.Holder, s *table.Set, l table.Locality, fn func(roster.Roster) (roster.Roster, bool)) bool {
	return s.UpdateDirect(h, func(d *table.DirectView) *table.DirectView {
		next, ok := fn(d.Roster)
		if !ok {
			return nil
		}
		return d.WithRoster(next, l)
	})
}

// ConfirmRoster records that the store confirmed a position of the list at a time.
// What belongs to another era than the roster confirms nothing.
func ConfirmRoster(h *locks.Holder, at time.Time, s *table.Set, p model.Position) {
	s.UpdateDirect(h, func(d *table.DirectView) *table.DirectView {
		if p.Era != d.Roster.Position.Era {
			return nil
		}
		return d.WithRosterConfirmed(latest(d.RosterConfirmed, at))
	})
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// TrackOpening records that an opening was sent to an instance. It reports false
// when no more flows can be tracked.
func TrackOpening(h *locks.Holder, s *table.Set, f packet.FlowID, t table.Track, b *table.Backend) bool {
	b.State.CountPlacement()
	return s.Tracks.Put(h, f, t)
}

// TrackOpened records that a flow is open at an instance, which has answered.
func TrackOpened(h *locks.Holder, now time.Time, s *table.Set, f packet.FlowID, t table.Track, b *table.Backend, longLived bool) table.Track {
	t = t.WithOpen(b.Instance.ID)
	t.LongLived, t.InstanceStartMillis = longLived, b.Instance.StartMillis
	switch stored := s.Tracks.Put(h, f, t); {
	case !stored:
		// A later Put may store the track. As the flow was never counted as open,
		// its end must not be counted either.
		t.LongLived = false
	case longLived:
		b.State.AddOpenFlows(1)
	}
	b.State.Observe(h, now, health.Accepted{Incarnation: b.Instance.ID})
	return t
}

// TrackSegment records a packet of an open flow and what it implies about the
// instance: repeated data means that the instance has not answered, acknowledged
// data that it has.
func TrackSegment(h *locks.Holder, now time.Time, s *table.Set, seg *packet.Segment, t table.Track, b *table.Backend) table.Observation {
	t, o := t.WithSegment(now, seg)
	s.Tracks.Put(h, seg.Flow, t)
	switch {
	case o.Progress:
		b.State.Observe(h, now, health.Answered{Incarnation: b.Instance.ID, Latency: o.Took})
	case o.Repeated:
		b.State.Observe(h, now, health.Failed{Incarnation: b.Instance.ID})
	}
	return o
}

// TrackOverdue records that an answer is overdue. It reports false when no
// answer is outstanding any more or when it is already recorded.
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

// TakeFindings returns the instances that failed at this balancer since the last
// call, at most member.MaxFindings; the others remain for the next call.
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

// ApplyPeerFindings records the findings of another balancer. It returns the
// instances that new flows avoid because of them.
func ApplyPeerFindings(h *locks.Holder, now time.Time, s *table.Set, from model.Balancer, list []member.Finding) []*table.Backend {
	var out []*table.Backend
	peer := xxhash.Sum64String(from.Name)
	for _, f := range list {
		b, ok := s.Direct().Backend(f.Instance)
		if !ok {
			continue
		}
		inBackoff := b.State.HealthSnapshot().InSharedBackoff(now)
		b.State.Observe(h, now, health.FailedAtPeer{Peer: peer})
		if !inBackoff && b.State.HealthSnapshot().InSharedBackoff(now) {
			out = append(out, b)
		}
	}
	return out
}

// ForgetTrack removes the track of a flow that has ended.
func ForgetTrack(h *locks.Holder, s *table.Set, f packet.FlowID) {
	if t, ok := s.Tracks.Remove(h, f); ok {
		countClosed(s.Direct(), t)
	}
}

// lateAnswerTime is the time after an opening within which an instance may still
// answer it: an instance repeats its answer eight times, at intervals of 200 ms to
// 1.6 s.
const lateAnswerTime = 10 * time.Second

// ContestedFlows returns the open flows whose openings another instance than their
// own may still answer, or has answered last.
func ContestedFlows(h *locks.Holder, now time.Time, s *table.Set, lifetime time.Duration) map[packet.FlowID]table.Track {
	keep := lateAnswerTime + idleTimeout(s.Direct(), lifetime)
	return s.Tracks.Select(h, func(t table.Track) bool { return mayBeAnsweredLate(now, &t, keep) })
}

// mayBeAnsweredLate reports whether an open flow belongs to ContestedFlows. keep is
// the time for which it does.
func mayBeAnsweredLate(now time.Time, t *table.Track, keep time.Duration) bool {
	return t.State == table.TrackOpen && t.StartKnown &&
		(now.Before(t.KeepUntil) || t.IsContested() && now.Sub(t.Opened) < keep)
}

// UnsettledFlows returns the flows of ContestedFlows and those whose openings this
// balancer has sent and that are not open yet.
func UnsettledFlows(h *locks.Holder, now time.Time, s *table.Set, lifetime time.Duration) map[packet.FlowID]table.Track {
	keep := lateAnswerTime + idleTimeout(s.Direct(), lifetime)
	return s.Tracks.Select(h, func(t table.Track) bool {
		return t.State == table.TrackOpening && !t.Reported || mayBeAnsweredLate(now, &t, keep)
	})
}

// HoldSegment keeps a packet until the instance of its flow is known, if there is
// room, or only notes it. It reports whether other balancers should be asked about
// the flow: not within interval of the last question, nor within interval of the
// opening, since the client's first data is usually only late.
// The track is that of the flow, or zero.
func HoldSegment(h *locks.Holder, now time.Time, s *table.Set, seg *packet.Segment, t table.Track, room bool, interval time.Duration) bool {
	if t.Opened.IsZero() {
		t = table.Track{Opened: now, Reported: true}
	}
	ask := (t.Waited || now.Sub(t.Sent) >= interval) && now.Sub(t.Asked) >= interval
	if ask {
		t.Asked = now
	}
	if room {
		t = t.WithHeld(seg.Clone())
	}
	t.Seen = now
	s.Tracks.Put(h, seg.Flow, t)
	return ask
}

// TakeHeld returns the packets that wait for the instance of their flow, which no
// longer holds them.
func TakeHeld(h *locks.Holder, s *table.Set, f packet.FlowID) []packet.Segment {
	t, ok := s.Tracks.Get(h, f)
	if !ok || len(t.Held) == 0 {
		return nil
	}
	t, held := t.WithoutHeld()
	s.Tracks.Put(h, f, t)
	return held
}

// ApplyFlowReport records what another balancer knows of a flow. It reports
// whether this balancer did not know it. What it has seen itself is kept.
func ApplyFlowReport(h *locks.Holder, now time.Time, s *table.Set, m *member.FlowReport, lifetime time.Duration) bool {
	t, ok := s.Tracks.Get(h, m.Flow)
	if ok && !t.Reported && (t.State != table.TrackOpening || t.Start != m.Start) {
		return false
	}
	if !ok || t.Reported && t.StartKnown && t.Start != m.Start {
		t = table.Track{Opened: now, Reported: true}
	}
	t.Start, t.StartKnown = m.Start, true
	if m.Open {
		keep := now.Add(lateAnswerTime + idleTimeout(s.Direct(), lifetime))
		return s.Tracks.Put(h, m.Flow, t.WithReport(now, m.Instances[0], keep))
	}
	if t.State != table.TrackOpening {
		return false
	}
	for _, id := range m.Instances {
		t = t.WithOffer(id)
	}
	t.Seen = now
	return s.Tracks.Put(h, m.Flow, t)
}

// transitoryTimeout is how long the track of an opening or closing flow is kept
// after its last packet, for repeated packets. A sender repeats up to eight
// times within about 10 s; later packets are routed by their token.
const transitoryTimeout = 2 * time.Second

// SweepTracks removes the tracks of flows that are closed, idle or were never
// answered.
func SweepTracks(h *locks.Holder, now time.Time, s *table.Set, lifetime time.Duration) {
	d := s.Direct()
	idle := idleTimeout(d, lifetime)
	s.Tracks.Sweep(h, func(t table.Track) bool {
		if now.Before(t.KeepUntil) {
			return false
		}
		age := now.Sub(t.Seen)
		return age > idle || t.State != table.TrackOpen && age > transitoryTimeout
	}, func(t table.Track) { countClosed(d, t) })
}

// idleTimeout returns the time without packets after which a flow may be forgotten.
func idleTimeout(d *table.DirectView, lifetime time.Duration) time.Duration {
	if d.Routing.IdleTimeout > 0 {
		return d.Routing.IdleTimeout
	}
	return lifetime
}

// countClosed removes a long-lived flow from the open flows of its instance,
// unless the instance has restarted since the flow was counted.
func countClosed(d *table.DirectView, t table.Track) {
	if b, ok := d.Backend(t.Instance); ok && t.LongLived && t.InstanceStartMillis == b.Instance.StartMillis {
		b.State.AddOpenFlows(-1)
	}
}
