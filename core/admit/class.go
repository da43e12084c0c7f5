package admit

import (
	"slices"
	"time"

	"egretdock/core/model"
)

// sweepAt is the number of customers of a class from which idle ones are
// forgotten.
const sweepAt = 64

// class is the queue of one class. Customers share it by start-time fair
// queueing, a form of stride scheduling.
type class struct {
	// model is the class of the last item offered, so that a changed
	// configuration takes effect.
	model model.Class
	// used is the capacity used recently, in slot seconds; it decays with
	// shareWindow.
	used float64
	// clock is the pass of the customer granted last; customers that were idle
	// start there, without credit for the past.
	clock     float64
	customers map[string]*customer
	// active are the customers with waiting items; length counts the items.
	active []*customer
	length int
	// running counts the granted items.
	running int
	// answers follows the time from forwarding to the answer, holds the time
	// from the grant to the end.
	answers, holds pace
	sweepAt        int
}

// customer is one customer's part of a class.
type customer struct {
	class  *class
	name   string
	weight float64
	// pass is the capacity received, in slot seconds over weight.
	pass float64
	// queue is in order of arrival and has not been empty since the given time.
	queue []Item
	since time.Time
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

// sweep forgets idle customers whose pass is not ahead of the clock: they would
// start at the clock anyway.
func (c *class) sweep() {
	if len(c.customers) < max(sweepAt, c.sweepAt) {
		return
	}
	for name, cu := range c.customers {
		if len(cu.queue) == 0 && cu.running == 0 && cu.pass <= c.clock {
			delete(c.customers, name)
		}
	}
	c.sweepAt = 2 * len(c.customers)
}

// push appends an item to its customer's queue.
func (c *class) push(now time.Time, cu *customer, it Item) {
	if len(cu.queue) == 0 {
		cu.since = now
		cu.pass = max(cu.pass, c.clock)
		c.active = append(c.active, cu)
	}
	cu.queue = append(cu.queue, it)
	c.length++
}

// take removes the item at index i of a customer's queue.
func (c *class) take(cu *customer, i int) Item {
	it := cu.queue[i]
	cu.queue = slices.Delete(cu.queue, i, i+1)
	c.length--
	if len(cu.queue) == 0 {
		at := slices.Index(c.active, cu)
		c.active = slices.Delete(c.active, at, at+1)
	}
	return it
}

// charge books a grant of the expected length.
func (c *class) charge(cu *customer, hold float64) {
	cu.pass = max(cu.pass, c.clock)
	c.clock = cu.pass
	c.settle(cu, hold)
	cu.running++
	c.running++
}

// settle books capacity used beyond what was charged, or returns the rest.
func (c *class) settle(cu *customer, extra float64) {
	cu.pass += extra / cu.weight
	c.used = max(0, c.used+extra)
}

// next returns the customer whose turn it is. Within the guaranteed share all
// customers take turns; beyond it those of the highest priority do.
func (c *class) next(guaranteed bool) *customer {
	var best *customer
	top := c.priority()
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

// priority returns the highest priority that waits.
func (c *class) priority() uint8 {
	var top uint8
	for _, cu := range c.active {
		top = max(top, cu.queue[0].Class.Priority)
	}
	return top
}

// backlogAfter is the time for which a customer's queue is in use before its
// newest items go first. It is longer than the bursts of a customer within its
// share: 10 service times of 20 ms.
const backlogAfter = 200 * time.Millisecond

// turn returns the index of the customer's item that is granted next: the
// oldest, or the newest under lasting overload. Then the oldest would be granted
// just before their deadline and most would miss it.
func (cu *customer) turn(now time.Time) int {
	if cu.backlogged(now) {
		return len(cu.queue) - 1
	}
	return 0
}

// spare returns the index of the item that is dropped first.
func (cu *customer) spare(now time.Time) int { return len(cu.queue) - 1 - cu.turn(now) }

func (cu *customer) backlogged(now time.Time) bool { return now.Sub(cu.since) >= backlogAfter }

// longest returns the customer with the most waiting items relative to its
// weight, counting the item that joining is about to add.
func (c *class) longest(joining *customer) *customer {
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

// ahead returns the number of items that are granted before the next item of
// the given customer would be.
func (c *class) ahead(joining *customer) float64 {
	turns := float64(len(joining.queue) + 1)
	n := turns - 1
	for _, cu := range c.active {
		if cu != joining {
			n += min(float64(len(cu.queue)), turns*cu.weight/joining.weight)
		}
	}
	return n
}

// measured reports whether items are in flight that will renew the estimate of
// hold. Without them an estimate from a bad moment would refuse all later work.
func (c *class) measured() bool { return c.running > 0 }

// hold returns the expected time from a grant to its end, in seconds.
func (c *class) hold() float64 {
	if c.holds.mean > 0 {
		return c.holds.mean
	}
	return defaultHold.Seconds()
}

// defaultHold is charged for a grant before the first answer of its class.
const defaultHold = 20 * time.Millisecond
