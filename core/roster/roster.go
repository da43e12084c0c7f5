// Package roster tracks the instances that service discovery lists. It retains
// them for a grace period while the store is unavailable or entries lapse.
package roster

import (
	"maps"
	"time"

	"egretdock/core/model"
)

const (
	// NewFlowGrace is how long an instance whose entry vanished without draining
	// may still get new flows. Entries lapse while the store is unavailable and
	// are written again within about two seconds of its recovery; an instance
	// that left must get no new flow after three.
	NewFlowGrace = 2500 * time.Millisecond
	// OpenFlowGrace is how long such an instance keeps its open flows. It exceeds
	// NewFlowGrace by the time that a returned entry takes to arrive: a pause of
	// the reader, a slow answer of the store and one of a peer.
	OpenFlowGrace = 4 * time.Second
	// GoneRetention is how long an instance that left is remembered, so that its
	// flows can be told from flows of an unknown instance. A flow lasts a
	// minute.
	GoneRetention = 70 * time.Second
)

// Status is the state of an instance as derived from its entry in the list.
type Status uint8

// Statuses.
const (
	// StatusReady gets new flows.
	StatusReady Status = iota
	// StatusDraining keeps its flows and gets no new ones.
	StatusDraining
	// StatusUnreadable has an entry that can't be decoded. It keeps its flows and
	// gets no new ones.
	StatusUnreadable
	// StatusLapsed lost its entry without draining. The entry may return soon;
	// until then the instance gets new flows only when no other one can.
	StatusLapsed
	// StatusDeparting was draining and lost its entry while the store was
	// unavailable or just after, when the entry of an instance that still serves
	// may be missing. It keeps its flows and gets no new ones.
	StatusDeparting
	// StatusGone has ended; its flows are lost.
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

// entryVanished reports whether the entry was no longer listed.
func (s Status) entryVanished() bool {
	return s == StatusLapsed || s == StatusDeparting || s == StatusGone
}

// Member is an instance with its status. It is immutable.
type Member struct {
	Instance model.Instance
	Status   Status
	// ChangePosition is the position of the list at which this balancer last saw
	// the entry change.
	ChangePosition model.Position
	// StatusSince is when this balancer learned of the status.
	StatusSince time.Time
}

// Roster is the set of known instances at one position of the list. It is
// immutable; the zero value is empty.
type Roster struct {
	// Position is that of the last list or change applied; it never decreases.
	Position model.Position
	// StoreUnavailable is true while the store does not answer. No member expires
	// meanwhile.
	StoreUnavailable bool
	// StoreRecoveredAt is when the store last began to answer again, or was found
	// restored.
	StoreRecoveredAt time.Time
	// ForgottenPosition is the latest ChangePosition of the forgotten members.
	ForgottenPosition model.Position

	members map[uint64]Member
}

// Members returns all members by ID; callers must not modify the map.
func (r Roster) Members() map[uint64]Member { return r.members }

// Member returns the member with the given ID.
func (r Roster) Member(id uint64) (Member, bool) {
	m, ok := r.members[id]
	return m, ok
}

// WithList returns a copy with the full list at a position applied. A list that
// is older than r is ignored.
func (r Roster) WithList(now time.Time, list []model.InstanceChange, position model.Position) Roster {
	if position.Before(r.Position) {
		return r
	}
	e := r.edit(now, position)
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

// WithChanges returns a copy with the changes up to a position applied. Changes
// that are older than r are ignored, and those of a later era until its entries
// have been listed.
func (r Roster) WithChanges(now time.Time, changes []model.InstanceChange, position model.Position) Roster {
	if position.Before(r.Position) || !r.Position.IsZero() && position.Era != r.Position.Era {
		return r
	}
	if len(changes) == 0 {
		r.Position = position
		return r
	}
	e := r.edit(now, position)
	for _, c := range changes {
		e.apply(c)
	}
	return e.done()
}

// WithStoreUnavailable returns a copy that records whether the store is
// unavailable. On recovery the grace of lapsed entries starts again, since they
// could not be written meanwhile.
func (r Roster) WithStoreUnavailable(now time.Time, unavailable bool) Roster {
	if r.StoreUnavailable == unavailable {
		return r
	}
	r.StoreUnavailable = unavailable
	if unavailable {
		return r
	}
	r.StoreRecoveredAt = now
	e := r.edit(now, r.Position)
	for id, m := range e.next {
		if m.Status == StatusLapsed || m.Status == StatusDeparting {
			m.StatusSince = now
			e.next[id] = m
		}
	}
	return e.done()
}

// WithExpiry returns a copy in which instances without an entry are gone once
// their grace is over, and gone ones are forgotten after GoneRetention. It
// reports false when nothing has expired.
func (r Roster) WithExpiry(now time.Time) (Roster, bool) {
	if r.StoreUnavailable {
		return r, false
	}
	var e *edit
	for id, m := range r.members {
		age := now.Sub(m.StatusSince)
		graceOver := (m.Status == StatusLapsed || m.Status == StatusDeparting) && age >= OpenFlowGrace
		retentionOver := m.Status == StatusGone && age >= GoneRetention
		if !graceOver && !retentionOver {
			continue
		}
		if e == nil {
			e = r.edit(now, r.Position)
		}
		if retentionOver {
			e.roster.ForgottenPosition = e.roster.ForgottenPosition.WithLatest(m.ChangePosition)
			delete(e.next, id)
		} else {
			m.Status, m.StatusSince = StatusGone, now
			e.next[id] = m
		}
	}
	if e == nil {
		return r, false
	}
	return e.done(), true
}

// edit builds the next version of a roster.
type edit struct {
	roster Roster
	next   map[uint64]Member
	now    time.Time
	// position is that of the list after the edit.
	position model.Position
}

func (r Roster) edit(now time.Time, position model.Position) *edit {
	next := make(map[uint64]Member, len(r.members)+1)
	maps.Copy(next, r.members)
	if !r.Position.IsZero() && position.Era != r.Position.Era {
		// Entries that the copy lacks are written again, as after an outage.
		r.StoreRecoveredAt = now
	}
	return &edit{roster: r, next: next, now: now, position: position}
}

func (e *edit) done() Roster {
	e.roster.members = e.next
	e.roster.Position = e.roster.Position.WithLatest(e.position)
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
			e.setStatus(c.Instance.ID, StatusUnreadable)
		}
	}
}

func (e *edit) put(in model.Instance) {
	old, known := e.next[in.ID]
	if known && in.Position.Before(old.Instance.Position) {
		return
	}
	m := Member{Instance: in, StatusSince: e.now, ChangePosition: e.position}
	if in.Draining {
		m.Status = StatusDraining
	}
	if known {
		m = e.merge(old, m)
	}
	e.next[in.ID] = m
	// Only an instance at the same address can lose it by this entry.
	for id, o := range e.next {
		if o.Status == StatusLapsed && reusesAddress(m, o) {
			e.setStatus(id, StatusGone)
		}
	}
}

// merge returns what is known of an instance after its entry was listed. Of two
// states, the more recent one stays: a restored store lists older ones, under
// which a drain must not be undone. An entry that had vanished counts again if
// it is listed as it was, since the instance may go on writing it without a
// change, which makes no event.
func (e *edit) merge(old, listed Member) Member {
	m := listed
	if !listed.Instance.Supersedes(old.Instance) {
		m.Instance, m.Status = old.Instance.WithPosition(listed.Instance.Position), old.Status
		sameState := listed.Instance.StartMillis == old.Instance.StartMillis && listed.Instance.Draining == old.Instance.Draining
		if old.Status.entryVanished() && sameState {
			m.Status = listed.Status
		}
	}
	if old.Status == StatusGone && m.Status == StatusReady && e.addressReused(m) {
		m.Status = StatusGone
	}
	if old.Status == m.Status && old.Instance.StartMillis == m.Instance.StartMillis {
		m.StatusSince = old.StatusSince
	}
	if old.Instance.WithSequence(m.Instance.Sequence) == m.Instance {
		m.ChangePosition = old.ChangePosition
	}
	return m
}

// reusesAddress reports whether m is a ready instance with a newer entry at the
// address of another one.
func reusesAddress(m, other Member) bool {
	return m.Status == StatusReady && m.Instance.Endpoint == other.Instance.Endpoint &&
		m.Instance.ID != other.Instance.ID && m.Instance.WrittenAfter(other.Instance)
}

// addressReused reports whether a ready instance with a newer entry has the
// address of m. It applies only once the entry of m is gone: until then m counts
// as the holder, since an entry of another writer may name any address.
func (e *edit) addressReused(m Member) bool {
	for _, o := range e.next {
		if reusesAddress(o, m) {
			return true
		}
	}
	return false
}

// remove handles the removal of an entry. An instance that was draining has
// ended; the entry of any other may have lapsed while the store was unavailable.
func (e *edit) remove(id uint64) {
	m, ok := e.next[id]
	if !ok {
		return
	}
	switch m.Status {
	case StatusReady, StatusUnreadable:
		if e.addressReused(m) {
			e.setStatus(id, StatusGone)
		} else {
			e.setStatus(id, StatusLapsed)
		}
	case StatusDraining:
		if e.roster.StoreUnavailable || e.now.Sub(e.roster.StoreRecoveredAt) < OpenFlowGrace {
			e.setStatus(id, StatusDeparting)
		} else {
			e.setStatus(id, StatusGone)
		}
	case StatusLapsed, StatusDeparting, StatusGone:
	}
}

func (e *edit) setStatus(id uint64, s Status) {
	m := e.next[id]
	m.Status, m.StatusSince, m.ChangePosition = s, e.now, e.position
	e.next[id] = m
}

// ChangesSince returns the entries that changed after a position, for a balancer
// that is at that position. full is true when they are the full list, because
// removals after that position may have been forgotten, or because it belongs to
// another era.
func (r Roster) ChangesSince(position model.Position) (changes []model.InstanceChange, full bool) {
	full = position.Before(r.ForgottenPosition) || position.IsZero() || position.Era != r.Position.Era
	for _, m := range r.members {
		if !full && !m.ChangePosition.After(position) {
			continue
		}
		c := model.InstanceChange{Instance: m.Instance}
		switch m.Status {
		case StatusReady, StatusDraining:
		case StatusUnreadable:
			c.Kind = model.ChangeUnreadable
		case StatusLapsed, StatusDeparting, StatusGone:
			if full {
				continue
			}
			c.Kind = model.ChangeRemoved
		}
		changes = append(changes, c)
	}
	return changes, full
}
