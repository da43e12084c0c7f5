// Package spread keeps the names whose news is still to be piggybacked on
// other messages.
package spread

import (
	"math/bits"
	"slices"
)

// Queue holds each name at most once. The zero value is empty. It is not safe
// for concurrent use.
type Queue struct {
	// items are in falling order of left. News that has been sent least goes
	// first, so that a backlog doesn't delay it.
	items []item
}

type item struct {
	name string
	// left is the number of transmissions left; above 0.
	left int
}

// TransmitLimit returns how often one balancer transmits one update in a fleet of n:
// about 3·log2(n). Each transmission roughly doubles the number of balancers
// that have heard the update; the factor of 3 covers losses and duplicates.
func TransmitLimit(n int) int { return 3 * max(1, bits.Len(uint(n))) }

// Push queues a name, to be transmitted the given number of times. A queued
// name starts again.
func (q *Queue) Push(name string, times int) {
	q.Remove(name)
	q.insert(item{name: name, left: times})
}

// CountDuplicate counts the same news from another balancer as one transmission, since
// the more balancers have it, the less it needs to be sent.
func (q *Queue) CountDuplicate(name string) {
	i := slices.IndexFunc(q.items, func(it item) bool { return it.name == name })
	if i < 0 {
		return
	}
	it := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	it.left--
	q.insert(it)
}

func (q *Queue) insert(it item) {
	if it.left <= 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(q.items, it.left, func(a item, left int) int {
		if a.left >= left {
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

// Take counts one transmission of up to n names, other than the excluded
// ones, and returns them.
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
		it.left--
		again = append(again, it)
	}
	for _, it := range again {
		q.insert(it)
	}
	return out
}

// Len returns the number of queued names.
func (q *Queue) Len() int { return len(q.items) }
