// Package table holds the shared tables of a balancer. Each table has a lock
// of its own rank (see core/locks); immutable views are read without a lock.
package table

import (
	"sync/atomic"

	"egretdock/core/locks"
	"egretdock/core/member"
)

// Set is all shared tables of one balancer. The zero value is a balancer that
// knows no configuration and no members.
type Set struct {
	viewMu locks.Mutex
	view   atomic.Pointer[View]

	membersMu locks.Mutex
	members   atomic.Pointer[member.View]
	owned     atomic.Pointer[Ownership]

	// Flows caches routes of flows without a token.
	Flows Flows
	// Probes holds packets of unknown route.
	Probes Probes
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

// Ownership splits the places of a view by whether this balancer owns their
// upstream. It is immutable.
type Ownership struct {
	Mine, Others []*Place
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

// UpdateMembers runs fn under the members lock and publishes its result.
func (s *Set) UpdateMembers(h *locks.Holder, fn func() member.View) {
	s.membersMu.Lock(h, locks.RankMembers)
	defer s.membersMu.Unlock(h, locks.RankMembers)
	v := fn()
	s.members.Store(&v)
}
