package model

import (
	"net/netip"
	"time"
)

// Instance is one run of an upstream, as service discovery lists it. It is
// immutable.
type Instance struct {
	// ID is unique among all instances; an upstream that starts again usually
	// has another.
	ID uint64
	// Name is the name of the entry, for the log.
	Name       string
	Service    string
	DataCentre string
	// Endpoint receives its packets. Another instance may get it some time
	// after this one has ended.
	Endpoint netip.AddrPort
	// Slots is the number of requests it runs at a time; positive.
	Slots int
	// Draining is true once it has announced its shutdown.
	Draining bool
	// WarmupLeft is how much longer it is slow after its start.
	WarmupLeft time.Duration
	// StartMillis is its start in milliseconds since the Unix epoch, by its own
	// clock; it distinguishes two starts under one ID. 0 means unknown.
	StartMillis uint64
	// Sequence numbers what the instance has written to its entry since its start.
	Sequence uint64
	// Position is that of the entry's last change.
	Position Position
}

// WithSequence returns a copy with another sequence.
func (in Instance) WithSequence(n uint64) Instance {
	in.Sequence = n
	return in
}

// WithPosition returns a copy with another position.
func (in Instance) WithPosition(p Position) Instance {
	in.Position = p
	return in
}

// Supersedes reports whether in is a later state of an instance than old. The
// instance's own count decides between states of one start, since a restored store
// may list an older state under a later position. Between two starts the store
// decides, and across a restore the time of the start.
func (in Instance) Supersedes(old Instance) bool {
	restored := in.Position.Era != old.Position.Era
	switch {
	case in.Position.Before(old.Position):
		return false
	case in.StartMillis != old.StartMillis:
		return !restored || in.StartMillis > old.StartMillis
	case in.StartMillis != 0:
		return in.Sequence > old.Sequence || in.Sequence == old.Sequence && !restored
	}
	return true
}

// WrittenAfter reports whether the entry of in is later than that of another
// instance. The eras of two entries differ when a restored store lacks one of
// them; then the times of the starts decide.
func (in Instance) WrittenAfter(other Instance) bool {
	if in.Position.Era != other.Position.Era {
		return in.StartMillis > other.StartMillis
	}
	return in.Position.After(other.Position)
}

// ChangeKind is what happened to the entry of an instance.
type ChangeKind uint8

// Change kinds.
const (
	// ChangeWritten means that the entry was created or replaced.
	ChangeWritten ChangeKind = iota
	// ChangeRemoved means that the entry no longer exists.
	ChangeRemoved
	// ChangeUnreadable means that the entry can't be read: the instance gets no
	// new flows, but it may still be running.
	ChangeUnreadable
)

// InstanceChange is one change of the list. Only the ID and name of the
// instance are set unless it was written.
type InstanceChange struct {
	Kind     ChangeKind
	Instance Instance
}
