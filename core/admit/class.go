package admit

import (
	"slices"
	"time"

	"egretdock/core/model"
)

// minSweepSize is the number of customers of a class from which idle ones are
// removed.
const minSweepSize = 64

// class is the queue of one class. Customers share it by start-time fair
// queueing, a form of stride scheduling.
type class struct {
	// model is the class of the last item offered, so that a changed
	// configuration takes effect.
	model model.Class
	// used is the capacity used recently, in slot seconds; it decays with
	// shareWindow.
	used float64
	// virtualTime is the pass of the customer granted last. Customers that were
	// idle resume from it, without credit for the idle time.
	virtualTime float64
	customers   map[string]*customer
	// active are the customers with queued items; queued counts the items.
	active []*customer
	queued int
	// running counts the granted items.
	running int
	// latency covers the time from forwarding to the answer, holdTime the time
	// from the grant to its end.
	latency, holdTime latencyStats
	nextSweepSize     int
}

// customer is one customer's part of a class.
type customer struct {
	class  *class
	name   string
	weight float64
	// pass is the capacity received, in slot seconds divided by weight.
	pass float64
	// queue is in order of arrival and has not been empty since nonEmptySince.
	queue         []Item
	nonEmptySince time.Time
	// running counts the granted items.
	running int
}

// customer returns the state of the item's customer, with its weight applied.
func (c *class) customer(it Item) *customer {
	cu, ok := c.customers[it.Customer]
	if !ok {
		c.sweep()
		cu = &customer{class: c, name: it.Customer}
		c.customers[it.Customer] = cu
	}
	cu.weight = weight(it)
	return cu
}

// weight returns the item's weight, or 1 when it has no valid one.
func weight(it Item) float64 {
	if it.Weight > 0 {
		return it.Weight
	}
	return 1
}

// sweep removes idle customers whose pass is not ahead of the virtual time:
// they would resume from the virtual time anyway.
func (c *class) sweep() {
	if len(c.customers) < max(minSweepSize, c.nextSweepSize) {
		return
	}
	for name, cu := range c.customers {
		if len(cu.queue) == 0 && cu.running == 0 && cu.pass <= c.virtualTime {
			delete(c.customers, name)
		}
	}
	c.nextSweepSize = 2 * len(c.customers)
}

// push appends an item to its customer's queue.
func (c *class) push(now time.Time, cu *customer, it Item) {
	if len(cu.queue) == 0 {
		cu.nonEmptySince = now
		cu.pass = max(cu.pass, c.virtualTime)
		c.active = append(c.active, cu)
	}
	cu.queue = append(cu.queue, it)
	c.queued++
}

// take removes the item at index i of a customer's queue.
func (c *class) take(cu *customer, i int) Item {
	it := cu.queue[i]
	cu.queue = slices.Delete(cu.queue, i, i+1)
	c.queued--
	if len(cu.queue) == 0 {
		at := slices.Index(c.active, cu)
		c.active = slices.Delete(c.active, at, at+1)
	}
	return it
}

// charge accounts for a grant that is expected to last hold seconds.
func (c *class) charge(cu *customer, hold float64) {
	cu.pass = max(cu.pass, c.virtualTime)
	c.virtualTime = cu.pass
	c.adjustUsage(cu, hold)
	cu.running++
	c.running++
}

// adjustUsage accounts for capacity used beyond what was charged; a negative
// extra is a refund.
func (c *class) adjustUsage(cu *customer, extra float64) {
	cu.pass += extra / cu.weight
	c.used = max(0, c.used+extra)
}

// nextCustomer returns the customer whose item is granted next. Within the
// guaranteed share of the class all customers are eligible; beyond it only
// those of the highest priority are.
func (c *class) nextCustomer(guaranteed bool) *customer {
	var best *customer
	top := c.topPriority()
	for _, cu := range c.active {
		if !guaranteed && cu.queue[0].Class.Priority < top {
			continue
		}
		if best == nil || cu.pass < best.pass {
			best = cu
		}
	}
	return best
}

// topPriority returns the highest priority among the customers with queued
// items.
func (c *class) topPriority() uint8 {
	var top uint8
	for _, cu := range c.active {
		top = max(top, cu.queue[0].Class.Priority)
	}
	return top
}

// lifoAfter is how long a customer's queue is non-empty before its newest items
// are granted first. It is longer than the bursts of a customer within its
// share: 10 service times of 20 ms.
const lifoAfter = 200 * time.Millisecond

// nextIndex returns the index of the customer's item that is granted next: the
// oldest, or the newest under lasting overload (adaptive LIFO). The oldest
// items would then be granted just before their deadline and most would miss
// it.
func (cu *customer) nextIndex(now time.Time) int {
	if cu.backlogged(now) {
		return len(cu.queue) - 1
	}
	return 0
}

// dropIndex returns the index of the item that is dropped first.
func (cu *customer) dropIndex(now time.Time) int { return len(cu.queue) - 1 - cu.nextIndex(now) }

func (cu *customer) backlogged(now time.Time) bool { return now.Sub(cu.nonEmptySince) >= lifoAfter }

// longestQueue returns the customer with the most queued items relative to its
// weight, counting the item that joining is about to add.
func (c *class) longestQueue(joining *customer) *customer {
	best, most := joining, float64(len(joining.queue)+1)/joining.weight
	for _, cu := range c.active {
		if cu == joining {
			continue
		}
		if n := float64(len(cu.queue)) / cu.weight; n > most {
			best, most = cu, n
		}
	}
	return best
}

// itemsAhead returns the number of items that are granted before the next item
// of the given customer would be.
func (c *class) itemsAhead(joining *customer) float64 {
	turns := float64(len(joining.queue) + 1)
	n := turns - 1
	for _, cu := range c.active {
		if cu != joining {
			n += min(float64(len(cu.queue)), turns*cu.weight/joining.weight)
		}
	}
	return n
}

// hasRunning reports whether granted items are in flight, whose end will update
// the expected hold time. Without them, an estimate from a slow period would
// reject all later work.
func (c *class) hasRunning() bool { return c.running > 0 }

// expectedHold returns the expected time from a grant to its end, in seconds.
func (c *class) expectedHold() float64 {
	if c.holdTime.mean > 0 {
		return c.holdTime.mean
	}
	return defaultHold.Seconds()
}

// defaultHold is charged for a grant before the first answer of its class.
const defaultHold = 20 * time.Millisecond
