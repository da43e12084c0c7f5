package model

import (
	"cmp"
	"strconv"
)

// Position is a place in the history of the store. A store that is restored from
// a copy issues revisions again, so a revision names a state only within its era.
type Position struct {
	// Era rises each time the store is restored; 0 means that the store tells none.
	Era uint64
	// Revision is the store's revision in the era; 0 means no position.
	Revision uint64
}

// IsZero reports whether p is no position.
func (p Position) IsZero() bool { return p.Revision == 0 }

// Compare orders positions; no position comes first.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p comes after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// WithLatest returns the later of p and q.
func (p Position) WithLatest(q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}

// String returns the era and the revision.
func (p Position) String() string {
	return strconv.FormatUint(p.Era, 10) + "/" + strconv.FormatUint(p.Revision, 10)
}
