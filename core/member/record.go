package member

import (
	"time"

	"egretdock/core/model"
)

// record is what one balancer knows of another. It is immutable.
type record struct {
	balancer model.Balancer
	status   Status
	// heard is false while only the host list names the balancer; status and
	// incarnation mean nothing then.
	heard bool
	// listed is set while the host list names the balancer.
	listed bool
	// revision is the highest configuration revision that this incarnation
	// has reported itself.
	revision uint64
	// finalSent is set once the time of a suspect's final probe has passed.
	finalSent bool
	// deadline is when the status changes without further news; zero if never.
	deadline time.Time
}

// live reports whether the balancer may own upstreams.
func (r record) live() bool {
	return r.heard && (r.status == StatusAlive || r.status == StatusSuspect)
}

// leaving reports whether the balancer is reachable but owns nothing.
func (r record) leaving() bool { return r.heard && r.status == StatusLeaving }

// missing reports whether the balancer should be live by the host list but is not.
func (r record) missing() bool { return r.listed && !r.live() && !r.leaving() }

// supersededBy reports whether an update is newer than the record. A higher
// incarnation is always newer; within one incarnation the stronger status is.
func (r record) supersededBy(u Update) bool {
	switch {
	case !r.heard:
		// Without an address the balancer can't be probed. Its death is
		// remembered, so that older news of its life is recognised as stale.
		return u.Balancer.Peer.IsValid() || u.Status == StatusDead
	case u.Balancer.Incarnation != r.balancer.Incarnation:
		return u.Balancer.Incarnation > r.balancer.Incarnation
	default:
		return u.Status > r.status
	}
}

// corrects reports whether an update shows that its sender lacks this record:
// the sender takes for live what is dead, leaving or replaced.
func (r record) corrects(u Update) bool {
	return r.heard && (r.balancer.Incarnation > u.Balancer.Incarnation ||
		u.Status < StatusLeaving && r.status >= StatusLeaving)
}

// withUpdate returns a copy with the status and incarnation of a newer update.
// The addresses stay when the update has none.
func (r record) withUpdate(u Update) record {
	if !r.heard || u.Balancer.Incarnation > r.balancer.Incarnation {
		// A restarted balancer has not acknowledged any revision yet.
		r.revision = 0
	}
	if u.Balancer.Peer.IsValid() {
		r.balancer = u.Balancer
	} else {
		r.balancer.Name = u.Balancer.Name
		r.balancer = r.balancer.WithIncarnation(u.Balancer.Incarnation)
	}
	r.status = u.Status
	r.heard, r.finalSent = true, false
	return r
}

// withDeadline returns a copy that changes by itself at t.
func (r record) withDeadline(t time.Time) record {
	r.deadline = t
	return r
}

// withFinalProbe returns a copy of a suspect that is removed at the deadline.
func (r record) withFinalProbe(deadline time.Time) record {
	r.finalSent = true
	return r.withDeadline(deadline)
}

// withRevision returns a copy that has reported a revision.
func (r record) withRevision(revision uint64) record {
	r.revision = max(r.revision, revision)
	return r
}

// withListed returns a copy that the host list names. The list's addresses
// count only for a balancer that is not reachable at the known ones.
func (r record) withListed(b model.Balancer) record {
	r.listed = true
	if !r.live() && !r.leaving() {
		r.balancer = b.WithIncarnation(r.balancer.Incarnation)
	}
	return r
}

// withoutListed returns a copy that the host list does not name.
func (r record) withoutListed() record {
	r.listed = false
	return r
}

// update returns the record as news for others.
func (r record) update() Update {
	u := Update{Balancer: r.balancer, Status: r.status}
	if r.status == StatusSuspect || r.status == StatusDead {
		u.Balancer = model.Balancer{Name: r.balancer.Name, Incarnation: r.balancer.Incarnation}
	}
	return u
}
