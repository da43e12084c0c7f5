// Package roster keeps the list of instances that service discovery reports,
// through the times in which the store is away or entries lapse.
package roster

import (
	"maps"
	"time"

	"egretdock/core/model"
)

const (
	// LapseGrace is how long an instance whose entry vanished without draining may
	// still get new flows. Entries lapse while the store is away and are written
	// again within about two seconds of its return; a departed instance must get
	// no new flow after three.
	LapseGrace = 2500 * time.Millisecond
	// GoneAfter is how long it keeps its flows. Above LapseGrace by the time in
	// which news of a returned entry travel: a pause of the reader, a slow answer
	// and a peer's.
	GoneAfter = 4 * time.Second
	// KeepGone is how long an instance that left is remembered, so that its
	// flows can be told from flows of an unknown one. Flows live a minute.
	KeepGone = 70 * time.Second
)

// Status is what the list says of an instance.
type Status uint8

// Statuses.
const (
	// StatusReady gets new flows.
	StatusReady Status = iota
	// StatusDraining keeps its flows and gets no new ones.
	StatusDraining
	// StatusUnreadable has an entry that can't be read. It keeps its flows and
	// gets no new ones.
	StatusUnreadable
	// StatusLapsed has vanished without draining. It may be back soon, and gets
	// new flows only when nothing else is left.
	StatusLapsed
	// StatusDeparting drained and vanished just after the store was away, when the
	// entry of an instance that still serves may be missing. It keeps its flows
	// and gets no new ones.
	StatusDeparting
	// StatusGone has left; its flows are lost.
	StatusGone
)

var statusNames = [...]string{StatusReady: "ready", StatusDraining: "draining", StatusUnreadable: "unreadable", StatusLapsed: "lapsed", StatusDeparting: "departing", StatusGone: "gone"}

// String returns the status in snake case.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// Member is an instance with its status. It is immutable.
type Member struct {
	Instance model.Instance
	Status   Status
	// Changed is the revision of the list at which its entry last changed, as
	// far as this balancer knows.
	Changed uint64
	// Since is when the status began, as this balancer learnt it.
	Since time.Time
}

// Roster is the known instances at one revision of the list. It is immutable;
// the zero value knows none.
type Roster struct {
	// Revision is that of the last list or change taken in; it never falls.
	Revision uint64
	// Away is true while the store does not answer. Nothing lapses meanwhile.
	Away bool
	// Returned is when the store last began to answer after it had been away.
	Returned time.Time
	// Floor is the highest Changed of the members that were forgotten.
	Floor uint64

	members map[uint64]Member
}

// Members returns all members by ID; users must not modify the map.
func (r Roster) Members() map[uint64]Member { return r.members }

// Member returns the member with an ID.
func (r Roster) Member(id uint64) (Member, bool) {
	m, ok := r.members[id]
	return m, ok
}

// WithList returns a copy that has seen the whole list at a revision. An older
// list changes nothing.
func (r Roster) WithList(now time.Time, list []model.InstanceChange, revision uint64) Roster {
	if revision < r.Revision {
		return r
	}
	e := r.edit(now, revision)
	listed := make(map[uint64]bool, len(list))
	for _, c := range list {
		listed[c.Instance.ID] = true
		e.apply(c)
	}
	for id := range r.members {
		if !listed[id] {
			e.remove(id)
		}
	}
	return e.done()
}

// WithChanges returns a copy that has seen the changes up to a revision.
func (r Roster) WithChanges(now time.Time, changes []model.InstanceChange, revision uint64) Roster {
	if revision < r.Revision {
		return r
	}
	if len(changes) == 0 {
		r.Revision = revision
		return r
	}
	e := r.edit(now, revision)
	for _, c := range changes {
		e.apply(c)
	}
	return e.done()
}

// WithStore returns a copy that knows whether the store answers. On its return
// the grace of lapsed entries starts again, since they could not be written
// meanwhile.
func (r Roster) WithStore(now time.Time, away bool) Roster {
	if r.Away == away {
		return r
	}
	r.Away = away
	if away {
		return r
	}
	r.Returned = now
	e := r.edit(now, r.Revision)
	for id, m := range e.next {
		if m.Status == StatusLapsed || m.Status == StatusDeparting {
			m.Since = now
			e.next[id] = m
		}
	}
	return e.done()
}

// WithTime returns a copy in which lapsed entries whose grace is over are gone
// and old ones forgotten. It reports false when nothing is due.
func (r Roster) WithTime(now time.Time) (Roster, bool) {
	if r.Away {
		return r, false
	}
	var e *edit
	for id, m := range r.members {
		age := now.Sub(m.Since)
		lapsed := (m.Status == StatusLapsed || m.Status == StatusDeparting) && age >= GoneAfter
		forgotten := m.Status == StatusGone && age >= KeepGone
		if !lapsed && !forgotten {
			continue
		}
		if e == nil {
			e = r.edit(now, r.Revision)
		}
		if forgotten {
			e.roster.Floor = max(e.roster.Floor, m.Changed)
			delete(e.next, id)
		} else {
			m.Status, m.Since = StatusGone, now
			e.next[id] = m
		}
	}
	if e == nil {
		return r, false
	}
	return e.done(), true
}

// edit collects changes of a copy.
type edit struct {
	roster Roster
	next   map[uint64]Member
	now    time.Time
	// revision is that of the list after the edit.
	revision uint64
}

func (r Roster) edit(now time.Time, revision uint64) *edit {
	next := make(map[uint64]Member, len(r.members)+1)
	maps.Copy(next, r.members)
	return &edit{roster: r, next: next, now: now, revision: revision}
}

func (e *edit) done() Roster {
	e.roster.members = e.next
	e.roster.Revision = max(e.roster.Revision, e.revision)
	return e.roster
}

func (e *edit) apply(c model.InstanceChange) {
	switch c.Kind {
	case model.ChangeWritten:
		e.put(c.Instance)
	case model.ChangeRemoved:
		e.remove(c.Instance.ID)
	case model.ChangeUnreadable:
		if m, ok := e.next[c.Instance.ID]; ok && m.Status != StatusUnreadable {
			e.set(c.Instance.ID, StatusUnreadable)
		}
	}
}

func (e *edit) put(in model.Instance) {
	old, known := e.next[in.ID]
	if known && old.Instance.Revision > in.Revision {
		return
	}
	m := Member{Instance: in, Since: e.now, Changed: e.revision}
	if known && old.Instance == in {
		m.Changed = old.Changed
	}
	if in.Draining {
		m.Status = StatusDraining
	}
	if known && old.Status == m.Status && old.Instance.StartMillis == in.StartMillis {
		m.Since = old.Since
	}
	e.next[in.ID] = m
	for id, o := range e.next {
		if o.Status == StatusLapsed && e.replaced(o) {
			e.set(id, StatusGone)
		}
	}
}

// replaced reports whether the address of an instance was given to another one
// since. While an entry is there its instance counts as the holder, since an
// entry of another writer may name any address.
func (e *edit) replaced(m Member) bool {
	for id, o := range e.next {
		if id != m.Instance.ID && o.Status == StatusReady && o.Instance.Endpoint == m.Instance.Endpoint && o.Instance.Revision > m.Instance.Revision {
			return true
		}
	}
	return false
}

// remove handles the end of an entry. One that drained has left; any other may
// have lapsed while the store was away.
func (e *edit) remove(id uint64) {
	m, ok := e.next[id]
	if !ok {
		return
	}
	switch m.Status {
	case StatusReady, StatusUnreadable:
		if e.replaced(m) {
			e.set(id, StatusGone)
		} else {
			e.set(id, StatusLapsed)
		}
	case StatusDraining:
		if e.roster.Away || e.now.Sub(e.roster.Returned) < GoneAfter {
			e.set(id, StatusDeparting)
		} else {
			e.set(id, StatusGone)
		}
	case StatusLapsed, StatusDeparting, StatusGone:
	}
}

func (e *edit) set(id uint64, s Status) {
	m := e.next[id]
	m.Status, m.Since, m.Changed = s, e.now, e.revision
	e.next[id] = m
}

// Since returns the entries that changed after a revision, for a balancer that
// has that revision. whole is true when they are the whole list, because too
// much has been forgotten to tell what was removed.
func (r Roster) Since(revision uint64) (changes []model.InstanceChange, whole bool) {
	whole = revision < r.Floor || revision == 0
	for _, m := range r.members {
		if !whole && m.Changed <= revision {
			continue
		}
		c := model.InstanceChange{Instance: m.Instance}
		switch m.Status {
		case StatusReady, StatusDraining:
		case StatusUnreadable:
			c.Kind = model.ChangeUnreadable
		case StatusLapsed, StatusDeparting, StatusGone:
			if whole {
				continue
			}
			c.Kind = model.ChangeRemoved
		}
		changes = append(changes, c)
	}
	return changes, whole
}
