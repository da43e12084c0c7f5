// Package admit decides which work an upstream's owner forwards, queues or
// refuses. Nothing in it is safe for concurrent use; the upstream's lock
// protects it.
package admit

import (
	"math/rand/v2"
	"time"

	"egretdock/core/packet"
)

// defaultSlots is the concurrency limit before an upstream reports its slots.
const defaultSlots = 2

// Upstream is the admission state of one incarnation of one upstream. The zero
// value admits defaultSlots items at a time.
type Upstream struct {
	slots int
	// running holds the granted items; an item is never in both maps.
	running map[Key]Item
	queue   []Item
}

// SetSlots records the number of slots that the upstream reports.
func (u *Upstream) SetSlots(n int) { u.slots = n }

// Offer asks for capacity for an item.
func (u *Upstream) Offer(now time.Time, it Item, rnd *rand.Rand) Verdict {
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return Rejected{Reason: packet.ReasonDeadline}
	}
	if u.Load().HasRoom() {
		u.grant(it)
		return Granted{}
	}
	if len(u.queue) >= it.Class.Queue() {
		return Rejected{Reason: packet.ReasonOverload, RetryAfter: time.Duration(rnd.Int64N(int64(time.Second)))}
	}
	u.queue = append(u.queue, it)
	return Queued{Length: len(u.queue)}
}

// Transfer moves the grant of a flow's opening to its first request. It
// reports false when no such grant exists.
func (u *Upstream) Transfer(from, to Key) bool {
	it, ok := u.running[from]
	if !ok {
		return false
	}
	delete(u.running, from)
	it.Key = to
	u.running[to] = it
	return true
}

// Finish releases the capacity of a granted item.
func (u *Upstream) Finish(_ time.Time, k Key, _ Outcome) { delete(u.running, k) }

// Remove drops a queued item and reports whether it was queued.
func (u *Upstream) Remove(k Key) bool {
	for i := range u.queue {
		if u.queue[i].Key == k {
			u.queue = append(u.queue[:i], u.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Pop grants and returns the next queued item if there is capacity for it.
func (u *Upstream) Pop(_ time.Time) (Item, bool) {
	if len(u.queue) == 0 || len(u.running) >= u.Load().Limit {
		return Item{}, false
	}
	it := u.queue[0]
	u.queue = u.queue[1:]
	u.grant(it)
	return it, true
}

// Expire drops the queued items whose deadline has passed.
func (u *Upstream) Expire(now time.Time) []Dropped {
	var out []Dropped
	kept := u.queue[:0]
	for _, it := range u.queue {
		if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
			out = append(out, Dropped{Item: it, Reason: packet.ReasonDeadline})
			continue
		}
		kept = append(kept, it)
	}
	u.queue = kept
	return out
}

// Load returns the current use.
func (u *Upstream) Load() Load {
	limit := u.slots
	if limit <= 0 {
		limit = defaultSlots
	}
	return Load{InFlight: len(u.running), Queued: len(u.queue), Limit: limit}
}

func (u *Upstream) grant(it Item) {
	if u.running == nil {
		u.running = make(map[Key]Item)
	}
	u.running[it.Key] = it
}
