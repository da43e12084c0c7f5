// Package table holds the shared tables of a balancer. Each table has a lock
// of its own rank (see core/locks); immutable views are read without a lock.
package table

import (
	"sync/atomic"
	"time"

	"egretdock/core/locks"
	"egretdock/core/member"
)

// Set holds all shared tables of one balancer. The zero value is a balancer
// that knows no configuration and no members.
type Set struct {
	viewMu locks.Mutex
	view   atomic.Pointer[View]
	direct atomic.Pointer[DirectView]
	// directChanged is closed when a field of direct that WatchDirect covers
	// changes; nil while nobody waits. viewMu protects it.
	directChanged chan struct{}

	membersMu locks.Mutex
	// detector is nil until the first UpdateMembers; membersMu protects it.
	detector *member.State
	members  atomic.Pointer[member.View]
	owned    atomic.Pointer[Ownership]
	// settled is true while this balancer may act as an owner.
	settled atomic.Bool

	// Flows caches routes of flows without a token.
	Flows Flows
	// Requests bounds the work tracked as an owner.
	Requests Requests
	// Tracks holds what this balancer has seen of opaque flows.
	Tracks Tracks
	// Probes holds the packets of unknown route that are sent to one candidate
	// after another.
	Probes Probes
	// Readers tracks the revisions that workers route by.
	Readers Readers
	// Limits holds the customers' use of their limits and the services' retry
	// budgets.
	Limits Limits
	// LastTick is the time of the last tick in nanoseconds since the Unix
	// epoch.
	LastTick atomic.Int64
	// Leaving is set once the balancer has been asked to stop.
	Leaving atomic.Bool
}

// View returns the routing view in force; never nil.
func (s *Set) View() *View {
	if v := s.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// UpdateView replaces the view by fn's result under the view lock; a nil
// result keeps the view.
func (s *Set) UpdateView(h *locks.Holder, fn func(*View) *View) bool {
	s.viewMu.Lock(h, locks.RankView)
	defer s.viewMu.Unlock(h, locks.RankView)
	next := fn(s.View())
	if next == nil {
		return false
	}
	s.view.Store(next)
	return true
}

// Members returns the members in force.
func (s *Set) Members() member.View {
	if v := s.members.Load(); v != nil {
		return *v
	}
	return member.View{}
}

// Ownership splits the endpoints of a view by whether this balancer owns their
// upstream. It is immutable.
type Ownership struct {
	Owned, Others []*EndpointEntry
}

// Ownership returns the split in force.
func (s *Set) Ownership() *Ownership {
	if o := s.owned.Load(); o != nil {
		return o
	}
	return &Ownership{}
}

// UpdateOwnership replaces the split by fn's result. fn runs under the members
// lock, so that the last of several updates sees the newest view and members.
func (s *Set) UpdateOwnership(h *locks.Holder, fn func(*View, member.View) *Ownership) {
	s.membersMu.Lock(h, locks.RankMembers)
	defer s.membersMu.Unlock(h, locks.RankMembers)
	s.owned.Store(fn(s.View(), s.Members()))
}

// UpdateMembers runs fn on the failure detector under the members lock and
// publishes the resulting view. It reports whether the view changed. start
// creates the detector on first use.
func (s *Set) UpdateMembers(h *locks.Holder, now time.Time, start func() *member.State, fn func(*member.State)) bool {
	s.membersMu.Lock(h, locks.RankMembers)
	defer s.membersMu.Unlock(h, locks.RankMembers)
	if s.detector == nil {
		s.detector = start()
	}
	fn(s.detector)
	s.settled.Store(s.detector.Settled(now))
	v := s.detector.View()
	if v.Equal(s.Members()) {
		return false
	}
	v = v.WithOwnerIndex()
	s.members.Store(&v)
	return true
}

// ReadMembers runs fn on the failure detector, if there is one, under the
// members lock. fn must not change it.
func (s *Set) ReadMembers(h *locks.Holder, fn func(*member.State)) {
	s.membersMu.Lock(h, locks.RankMembers)
	defer s.membersMu.Unlock(h, locks.RankMembers)
	if s.detector != nil {
		fn(s.detector)
	}
}

// Settled reports whether this balancer may act as an owner.
func (s *Set) Settled() bool { return s.settled.Load() }
