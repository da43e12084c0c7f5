// Package order yields names in shuffled round-robin order, so that every
// balancer is probed once per round and no two balancers probe in the same
// order.
package order

import (
	"math/rand/v2"
	"slices"
)

// Ring is a set of names in shuffled order. The zero value is empty. It is not
// safe for concurrent use.
type Ring struct {
	names []string
	// next is the index of the name that Next returns; names[:next] were returned
	// in this round.
	next int
	// added holds the names that Next has not inserted into names yet.
	added []string
}

// Add adds a name that is not in the ring.
func (r *Ring) Add(name string) { r.added = append(r.added, name) }

// Remove deletes a name if it is in the ring.
func (r *Ring) Remove(name string) {
	if i := slices.Index(r.added, name); i >= 0 {
		r.added = slices.Delete(r.added, i, i+1)
		return
	}
	i := slices.Index(r.names, name)
	if i < 0 {
		return
	}
	r.names = slices.Delete(r.names, i, i+1)
	if i < r.next {
		r.next--
	}
}

// Next returns the next name of the round. It reports false when the ring is
// empty.
func (r *Ring) Next(rnd *rand.Rand) (string, bool) {
	// A new name takes a random place in the rest of the round. If it waited for
	// the next round, it would not be probed for minutes in a large fleet.
	for _, name := range r.added {
		r.names = slices.Insert(r.names, r.next+rnd.IntN(len(r.names)-r.next+1), name)
	}
	r.added = r.added[:0]
	if len(r.names) == 0 {
		return "", false
	}
	if r.next == len(r.names) {
		r.next = 0
		rnd.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	}
	name := r.names[r.next]
	r.next++
	return name, true
}
