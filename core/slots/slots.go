// Package slots maps flows to upstream candidates without state: every
// balancer computes the same table from the same upstream names.
package slots

import (
	"github.com/cespare/xxhash/v2"
)

// Width is the number of candidates of a slot.
const Width = 3

// perName is the number of slots for each name. 64 keep the shares of first
// candidates within a few percent of each other.
const perName = 64

// maxSlots bounds the memory of one table.
const maxSlots = 1 << 14

// Table lists candidates for each slot. It is immutable; the zero value has no
// candidates.
type Table struct {
	// rows holds Width indexes per slot; len(rows) is a power of two times
	// Width.
	rows []uint16
	// width is the number of candidates per slot: the lower of Width and the
	// number of names.
	width int
	mask  uint64
}

// Build computes the table for the given names. Adding or removing a name
// changes only the rows in which that name appears.
func Build(names []string) Table {
	if len(names) == 0 {
		return Table{}
	}
	n := 1
	for n < len(names)*perName && n < maxSlots {
		n *= 2
	}
	t := Table{width: min(Width, len(names)), mask: uint64(n - 1)}
	t.rows = make([]uint16, n*t.width)
	keys := make([]uint64, len(names))
	for i, name := range names {
		keys[i] = xxhash.Sum64String(name)
	}
	for s := range n {
		fill(t.rows[s*t.width:(s+1)*t.width], keys, uint64(s))
	}
	return t
}

// fill writes the indexes of the highest hashes of the slot, highest first.
func fill(row []uint16, keys []uint64, slot uint64) {
	var top [Width]uint64
	used := 0
	for i, k := range keys {
		h := score(k, slot)
		at := used
		for at > 0 && top[at-1] < h {
			at--
		}
		if at >= len(row) {
			continue
		}
		if used < len(row) {
			used++
		}
		copy(top[at+1:used], top[at:used-1])
		copy(row[at+1:used], row[at:used-1])
		top[at], row[at] = h, uint16(i)
	}
}

func score(key, slot uint64) uint64 {
	x := key ^ (slot+1)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Row returns the candidate indexes for a flow, best first. Clients must not
// modify the slice.
func (t Table) Row(flow uint64) []uint16 {
	if t.width == 0 {
		return nil
	}
	s := int(score(flow, 0) & t.mask)
	return t.rows[s*t.width : (s+1)*t.width]
}
