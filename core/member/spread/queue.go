// Package spread queues membership updates for dissemination: the names of the
// balancers whose updates are still to be piggybacked on gossip messages.
package spread

import (
	"math/bits"
	"slices"
)

// Queue holds the names of balancers, each at most once. The zero value is
// empty. It is not safe for concurrent use.
type Queue struct {
	// items are in descending order of remaining. The updates sent least often go
	// first, so that a backlog doesn't delay new ones.
	items []item
}

type item struct {
	name string
	// remaining is the number of transmissions still to make; above 0.
	remaining int
}

// TransmitLimit returns how often one balancer transmits one update in a fleet
// of n: about 3·log2(n). Each transmission roughly doubles the number of
// balancers that know the update; the factor of 3 covers losses and duplicates.
func TransmitLimit(n int) int { return 3 * max(1, bits.Len(uint(n))) }

// Push queues a name, to be transmitted the given number of times. The count of
// a name that is already queued starts again.
func (q *Queue) Push(name string, times int) {
	q.Remove(name)
	q.insert(item{name: name, remaining: times})
}

// CountDuplicate counts the receipt of a queued update from another balancer as
// one transmission, since an update that many balancers know needs fewer
// transmissions.
func (q *Queue) CountDuplicate(name string) {
	i := slices.IndexFunc(q.items, func(it item) bool { return it.name == name })
	if i < 0 {
		return
	}
	it := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	it.remaining--
	q.insert(it)
}

func (q *Queue) insert(it item) {
	if it.remaining <= 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(q.items, it.remaining, func(a item, remaining int) int {
		if a.remaining >= remaining {
			return -1
		}
		return 1
	})
	q.items = slices.Insert(q.items, i, it)
}

// Remove deletes a name if it is queued.
func (q *Queue) Remove(name string) {
	if i := slices.IndexFunc(q.items, func(it item) bool { return it.name == name }); i >= 0 {
		q.items = slices.Delete(q.items, i, i+1)
	}
}

// Clear empties the queue.
func (q *Queue) Clear() { q.items = nil }

// Take returns up to n names, other than the excluded ones, and counts one
// transmission of each.
func (q *Queue) Take(n int, exclude ...string) []string {
	var out []string
	var again []item
	for i := 0; i < len(q.items) && len(out) < n; {
		it := q.items[i]
		if slices.Contains(exclude, it.name) {
			i++
			continue
		}
		q.items = slices.Delete(q.items, i, i+1)
		out = append(out, it.name)
		it.remaining--
		again = append(again, it)
	}
	for _, it := range again {
		q.insert(it)
	}
	return out
}
