// Package rank orders upstreams for a flow by rendezvous hashing. It needs no
// shared state: every balancer that knows the same names computes the same
// order.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TopSize is the number of candidates per flow.
const TopSize = 3

// Ranking orders names by rendezvous hash. It is immutable; the zero value has
// no names.
//
// Hashes are computed per flow instead of looked up in a table of slots: with
// 64 slots for each of 15 names, the shares differed by 12%, and a table that
// is even to 3% would take 59 MB for 1,200 customers.
type Ranking struct {
	keys []uint64
}

// New returns the ranking of the given names. Adding or removing a name moves
// only flows to it or from it.
func New(names []string) Ranking {
	keys := make([]uint64, len(names))
	for i, n := range names {
		keys[i] = xxhash.Sum64String(n)
	}
	return Ranking{keys: keys}
}

// SortedByHash returns a copy of names in the order of their hashes. The order
// is the same on all balancers and favours no name.
func SortedByHash(names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return out
}

// Top holds the indexes of the highest-ranked names, best first.
type Top struct {
	index [TopSize]int
	score [TopSize]uint64
	n     int
}

// Len returns the number of indexes.
func (t *Top) Len() int { return t.n }

// At returns the index at position i, which must be below Len.
func (t *Top) At(i int) int { return t.index[i] }

// Top returns the highest-ranked names for a flow.
func (r Ranking) Top(flow uint64) Top {
	var t Top
	seed := Mix(flow + 0x9e3779b97f4a7c15)
	for i, k := range r.keys {
		t.insert(i, Mix(k^seed))
	}
	return t
}

func (t *Top) insert(index int, score uint64) {
	at := t.n
	for at > 0 && t.score[at-1] < score {
		at--
	}
	if at == TopSize {
		return
	}
	if t.n < TopSize {
		t.n++
	}
	copy(t.index[at+1:t.n], t.index[at:t.n-1])
	copy(t.score[at+1:t.n], t.score[at:t.n-1])
	t.index[at], t.score[at] = index, score
}

// Mix is the 64-bit finalizer of MurmurHash3. Applied to the combined hash of
// two names, it makes the order of a set of names differ from one key to the
// next.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
