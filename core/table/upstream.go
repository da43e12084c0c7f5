package table

import (
	"net/netip"
	"sync/atomic"
	"time"

	"egretdock/core/admit"
	"egretdock/core/health"
	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/packet"
)

// Upstream is the state that a balancer keeps of one upstream endpoint. The
// lock of rank upstreams protects the exported fields. The zero value is an
// upstream of which nothing is known.
type Upstream struct {
	mu locks.Mutex
	// hasPending is true while Pending has entries; it is read without the
	// lock.
	hasPending atomic.Bool
	// placements counts the openings that this balancer sent to this upstream
	// first; DecayPlacements halves it.
	placements atomic.Int32
	// openFlows counts the long-lived opaque flows that this balancer has seen
	// open at this upstream.
	openFlows atomic.Int32
	// unreported counts the failures not yet sent to other balancers.
	unreported atomic.Uint32
	// snapshot is a copy of Health for readers without the lock.
	snapshot atomic.Pointer[health.State]

	// Admit is the admission state of the current incarnation.
	Admit admit.Upstream
	// Pending holds the work that this balancer has queued or forwarded. An
	// entry is queued exactly when Admit holds it in its queue.
	Pending map[admit.Key]*Pending
	// Health is what is known of the upstream, its incarnation included.
	Health health.State
	// NextPoll is when the health endpoint is polled next.
	NextPoll time.Time
	// Uploads counts the entries of Pending with Upload set.
	Uploads int
}

// Lock takes the upstream's lock.
func (u *Upstream) Lock(h *locks.Holder) { u.mu.Lock(h, locks.RankUpstreams) }

// Unlock releases the upstream's lock.
func (u *Upstream) Unlock(h *locks.Holder) {
	u.hasPending.Store(len(u.Pending) > 0)
	u.mu.Unlock(h, locks.RankUpstreams)
}

// Observe takes the lock and applies a health signal about an instance of
// opaque flows.
func (u *Upstream) Observe(h *locks.Holder, now time.Time, sig health.Signal) {
	u.Lock(h)
	defer u.Unlock(h)
	u.ObserveLocked(now, sig)
}

// ObserveLocked applies a health signal; the caller holds the lock.
func (u *Upstream) ObserveLocked(now time.Time, sig health.Signal) {
	if _, ok := sig.(health.Failed); ok {
		u.unreported.Add(1)
	}
	u.Health = u.Health.With(now, sig)
	snapshot := u.Health
	u.snapshot.Store(&snapshot)
}

// unknownHealth is the state of an upstream of which nothing is known.
var unknownHealth health.State

// HealthSnapshot returns the current health without taking the lock. Callers
// must not modify it; it is not copied, since placement reads it many times for
// each instance.
func (u *Upstream) HealthSnapshot() *health.State {
	if s := u.snapshot.Load(); s != nil {
		return s
	}
	return &unknownHealth
}

// TakeUnreportedFailures returns the number of failures since its last call.
func (u *Upstream) TakeUnreportedFailures() uint32 { return u.unreported.Swap(0) }

// AddOpenFlows adds n, which may be negative, to the count of OpenFlows.
func (u *Upstream) AddOpenFlows(n int32) { u.openFlows.Add(n) }

// OpenFlows returns the number of long-lived flows that this balancer has seen
// open at the upstream.
func (u *Upstream) OpenFlows() int32 { return u.openFlows.Load() }

// HasPending reports whether this balancer has work pending at the upstream.
func (u *Upstream) HasPending() bool { return u.hasPending.Load() }

// RecentPlacements returns how many openings this balancer recently sent to the
// upstream first.
func (u *Upstream) RecentPlacements() int32 { return u.placements.Load() }

// CountPlacement counts an opening that this balancer sends to the upstream
// first.
func (u *Upstream) CountPlacement() { u.placements.Add(1) }

// DecayPlacements halves the count of RecentPlacements. A concurrent change may
// leave the count off by one, which only affects one choice.
func (u *Upstream) DecayPlacements() { u.placements.Store(u.placements.Load() / 2) }

// RemovePending removes an entry of Pending.
func (u *Upstream) RemovePending(k admit.Key) {
	if p, ok := u.Pending[k]; ok && p.Upload {
		u.Uploads--
	}
	delete(u.Pending, k)
}

// PendingState is the progress of a unit of work at the owner.
type PendingState uint8

// Pending states.
const (
	// PendingQueued waits for capacity; its packet has not been forwarded.
	PendingQueued PendingState = iota
	// PendingForwarded was sent to the upstream.
	PendingForwarded
	// PendingAccepted is an opening that the upstream accepted; its grant
	// waits for the first request.
	PendingAccepted
)

// Pending is one unit of work at the owner.
type Pending struct {
	// Relay is the newest copy of the packet, independent of any read buffer.
	Relay input.Relay
	State PendingState
	// Sent is when the packet was first forwarded.
	Sent time.Time
	// Expires is when the entry is abandoned.
	Expires time.Time
	// BypassesAdmission is true for the opening of a feed or an upload, which
	// holds no capacity of Admit.
	BypassesAdmission bool
	// Upload is true for the opening of an upload.
	Upload bool
}

// Probe is a packet of unknown route that is sent to one candidate after
// another.
type Probe struct {
	Packet packet.Packet
	// Tried is the index of the candidate that the packet was last sent to.
	Tried int
	// Target is that candidate's endpoint.
	Target  netip.AddrPort
	Expires time.Time
}
