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

// Upstream is the state that a balancer keeps of one upstream endpoint. All
// fields are protected by the lock of rank upstreams. The zero value is an
// upstream of which nothing is known.
type Upstream struct {
	mu locks.Mutex
	// busy is true while Pending has entries; it is read without the lock.
	busy atomic.Bool
	// placed counts the openings that this balancer sent there first; it is
	// halved at each Fade.
	placed atomic.Int32
	// open counts the long opaque flows that this balancer has seen open there.
	open atomic.Int32
	// untold counts the failures that the other balancers have not been told of.
	untold atomic.Uint32
	// judged is a copy of Health for readers without the lock.
	judged atomic.Pointer[health.State]

	// Admit is the admission state of the current incarnation.
	Admit admit.Upstream
	// Pending holds the work that this balancer has queued or forwarded. An
	// entry is queued exactly when Admit holds it in its queue.
	Pending map[admit.Key]*Pending
	// Health is what is known of the upstream, its incarnation included.
	Health health.State
	// NextPoll is when the health endpoint is asked again.
	NextPoll time.Time
	// Uploads counts the entries of Pending with Upload set.
	Uploads int
}

// Lock takes the upstream's lock.
func (u *Upstream) Lock(h *locks.Holder) { u.mu.Lock(h, locks.RankUpstreams) }

// Unlock releases the upstream's lock.
func (u *Upstream) Unlock(h *locks.Holder) {
	u.busy.Store(len(u.Pending) > 0)
	u.mu.Unlock(h, locks.RankUpstreams)
}

// Observe takes in a signal about an instance of opaque flows.
func (u *Upstream) Observe(h *locks.Holder, now time.Time, sig health.Signal) {
	u.Lock(h)
	defer u.Unlock(h)
	u.ObserveLocked(now, sig)
}

// ObserveLocked takes in a signal; the caller holds the lock.
func (u *Upstream) ObserveLocked(now time.Time, sig health.Signal) {
	if _, ok := sig.(health.Failed); ok {
		u.untold.Add(1)
	}
	u.Health = u.Health.With(now, sig)
	judged := u.Health
	u.judged.Store(&judged)
}

// unjudged is the state of an upstream of which nothing is known.
var unjudged health.State

// HealthSnapshot returns what is known of the upstream; it takes no lock. The state must
// not be changed. Placement asks for it many times for each instance, so it is
// not copied.
func (u *Upstream) HealthSnapshot() *health.State {
	if s := u.judged.Load(); s != nil {
		return s
	}
	return &unjudged
}

// TakeUnreportedFailures returns the failures since the last call.
func (u *Upstream) TakeUnreportedFailures() uint32 { return u.untold.Swap(0) }

// AddOpenFlows adds to the long flows that this balancer has seen open there.
func (u *Upstream) AddOpenFlows(n int32) { u.open.Add(n) }

// OpenFlows returns the long flows that this balancer has seen open there.
func (u *Upstream) OpenFlows() int32 { return u.open.Load() }

// HasPending reports whether this balancer has work pending at the upstream.
func (u *Upstream) HasPending() bool { return u.busy.Load() }

// RecentPlacements returns how many openings this balancer sent there first of late.
func (u *Upstream) RecentPlacements() int32 { return u.placed.Load() }

// CountPlacement counts an opening that this balancer sends there first.
func (u *Upstream) CountPlacement() { u.placed.Add(1) }

// DecayPlaced halves the count of Placed. A count that changes meanwhile may be off by
// one, which only shifts one choice.
func (u *Upstream) DecayPlaced() { u.placed.Store(u.placed.Load() / 2) }

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
	// PendingQueued waits for capacity; its packet was not forwarded.
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
	// Expires is when the entry is given up.
	Expires time.Time
	// BypassesAdmission is true for the opening of feeds and uploads, which holds no
	// capacity of Admit.
	BypassesAdmission bool
	// Upload is true for the opening of an upload.
	Upload bool
}

// Probe is a packet of unknown route that is being tried at one candidate
// after another.
type Probe struct {
	Packet packet.Packet
	// Tried is the index of the candidate that the packet was last sent to.
	Tried int
	// Target is that candidate's endpoint.
	Target  netip.AddrPort
	Expires time.Time
}
