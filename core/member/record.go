package member

import (
	"time"

	"egretdock/core/model"
)

// record is the state of one balancer as another one knows it. It is immutable.
type record struct {
	balancer model.Balancer
	status   Status
	// statusKnown is false while only the host list names the balancer; status and
	// incarnation are meaningless then.
	statusKnown bool
	// listed is set while the host list names the balancer.
	listed bool
	// revision is the highest configuration revision that this incarnation
	// itself has reported.
	revision uint64
	// finalProbePassed is set once a suspect's final probe was due, whether or not
	// this balancer sent one.
	finalProbePassed bool
	// deadline is when the status expires without a further update; zero if never.
	deadline time.Time
}

// live reports whether the balancer may own upstreams.
func (r record) live() bool {
	return r.statusKnown && (r.status == StatusAlive || r.status == StatusSuspect)
}

// leaving reports whether the balancer is reachable but owns nothing.
func (r record) leaving() bool { return r.statusKnown && r.status == StatusLeaving }

// missing reports whether the host list names the balancer but it is neither
// live nor leaving.
func (r record) missing() bool { return r.listed && !r.live() && !r.leaving() }

// supersededBy reports whether an update is newer than the record. A higher
// incarnation is always newer; within one incarnation the stronger status is.
func (r record) supersededBy(u Update) bool {
	switch {
	case !r.statusKnown:
		// A balancer without an address can't be probed. Its death is recorded,
		// so that older updates that report it alive are recognized as stale.
		return u.Balancer.Peer.IsValid() || u.Status == StatusDead
	case u.Balancer.Incarnation != r.balancer.Incarnation:
		return u.Balancer.Incarnation > r.balancer.Incarnation
	default:
		return u.Status > r.status
	}
}

// contradicts reports whether an update shows that its sender lacks this
// record: it takes a dead, leaving or replaced balancer for live.
func (r record) contradicts(u Update) bool {
	return r.statusKnown && (r.balancer.Incarnation > u.Balancer.Incarnation ||
		u.Status < StatusLeaving && r.status >= StatusLeaving)
}

// withUpdate returns a copy with the status and incarnation of a newer update.
// It keeps the addresses if the update has none.
func (r record) withUpdate(u Update) record {
	if !r.statusKnown || u.Balancer.Incarnation > r.balancer.Incarnation {
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
	r.statusKnown, r.finalProbePassed = true, false
	return r
}

// withDeadline returns a copy whose status expires at t.
func (r record) withDeadline(t time.Time) record {
	r.deadline = t
	return r
}

// withFinalProbe returns a copy of a suspect that is removed at the deadline if
// it does not refute.
func (r record) withFinalProbe(deadline time.Time) record {
	r.finalProbePassed = true
	return r.withDeadline(deadline)
}

// withRevision returns a copy that has reported a revision.
func (r record) withRevision(revision uint64) record {
	r.revision = max(r.revision, revision)
	return r
}

// withListed returns a copy that the host list names. It takes the list's
// addresses only if the balancer is neither live nor leaving.
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

// update returns the record as an update for other balancers.
func (r record) update() Update {
	u := Update{Balancer: r.balancer, Status: r.status}
	if r.status == StatusSuspect || r.status == StatusDead {
		u.Balancer = model.Balancer{Name: r.balancer.Name, Incarnation: r.balancer.Incarnation}
	}
	return u
}
