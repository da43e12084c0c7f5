// Package admit implements admission control: it decides which work the owner
// of an upstream forwards, queues or refuses. It is not safe for concurrent
// use; the upstream's lock protects it.
package admit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"egretdock/core/limit"
	"egretdock/core/model"
	"egretdock/core/packet"
)

const (
	// defaultSlots is the concurrency limit before an upstream reports its
	// slots.
	defaultSlots = 2
	// openingGrantTimeout is how long the opening of a flow holds capacity
	// without a request.
	openingGrantTimeout = 500 * time.Millisecond
	// shareWindow is the time constant over which guaranteed shares are
	// measured. It bounds the burst of a class that was idle.
	shareWindow = time.Second
)

// Upstream is the admission state of one incarnation of one upstream. The zero
// value admits defaultSlots items at a time, without slow start.
type Upstream struct {
	limit concurrencyLimit
	// now is the latest time seen.
	now time.Time
	// classes are in order of first use.
	classes []*class
	// running holds the granted items; waiting maps the keys of queued items to
	// their customers. A key is never in both.
	running []grant
	waiting map[Key]*customer
	// dropped are the queued items that were dropped since ExpireQueued was
	// last called.
	dropped []Dropped
	// decayedAt is the time up to which the use of classes has decayed.
	decayedAt time.Time
}

// grant is an item that holds capacity.
type grant struct {
	item      Item
	customer  *customer
	grantedAt time.Time
	// charged is the capacity charged in advance, in slot seconds.
	charged float64
}

// NewUpstream returns the state of an incarnation that starts at the given
// time: its limit rises from 1 over the slow start.
func NewUpstream(started time.Time) Upstream {
	return Upstream{limit: concurrencyLimit{started: started}}
}

// SetSlots records the number of slots that the upstream reports.
func (u *Upstream) SetSlots(n int) { u.limit = u.limit.WithSlots(n) }

// Offer asks for capacity for an item. An item already granted or queued keeps
// its place. Feeds and the openings of uploads are granted without capacity.
// When the class's queue is full, the customer with the most queued items
// relative to its weight loses the item that would be granted last;
// ExpireQueued returns it.
func (u *Upstream) Offer(now time.Time, it Item, rnd *rand.Rand) Verdict {
	u.advance(now)
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return Rejected{Reason: packet.ReasonDeadline}
	}
	if !holdsCapacity(it) || u.grantIndex(it.Key) >= 0 {
		return Granted{}
	}
	if _, ok := u.waiting[it.Key]; ok {
		return Queued{Length: len(u.waiting)}
	}
	c := u.classState(it.Class)
	cu := c.customer(it)
	if u.Load().HasCapacity() {
		u.grant(cu, it)
		return Granted{}
	}
	wait := u.customerWait(cu)
	if c.hasRunning() && missesDeadline(now, it, wait.Seconds()+c.expectedHold()) {
		return Rejected{Reason: packet.ReasonDeadline, RetryAfter: retryAfter(wait, rnd)}
	}
	if c.queued >= it.Class.EffectiveQueueLimit() {
		loser := c.longestQueue(cu)
		if loser == cu {
			return Rejected{Reason: packet.ReasonOverload, RetryAfter: retryAfter(wait, rnd)}
		}
		u.drop(loser, loser.dropIndex(now), packet.ReasonOverload, retryAfter(wait, rnd))
	}
	if u.waiting == nil {
		u.waiting = make(map[Key]*customer)
	}
	u.waiting[it.Key] = cu
	c.push(now, cu, it)
	return Queued{Length: len(u.waiting)}
}

// Transfer moves the grant of a flow's opening to its first request. It
// reports false when no such grant exists.
func (u *Upstream) Transfer(from, to Key) bool {
	i := u.grantIndex(from)
	if i < 0 {
		return false
	}
	u.running[i].item.Key = to
	return true
}

// Finish releases the capacity of a granted item.
func (u *Upstream) Finish(now time.Time, k Key, o Outcome) {
	u.advance(now)
	i := u.grantIndex(k)
	if i < 0 {
		return
	}
	saturated := len(u.running) >= u.limit.At(now)
	g := u.release(i)
	c := g.customer.class
	switch o := o.(type) {
	case Answered:
		held := now.Sub(g.grantedAt)
		c.holdTime = c.holdTime.WithSample(now, held)
		c.latency = c.latency.WithSample(now, o.Latency)
		u.setLimit(u.limit.WithAnswer(now, c.latency.Ratio(o.Latency), held.Seconds(), saturated))
	case Shed:
		u.limit = u.limit.WithShed(now, g.grantedAt)
	case Abandoned:
	}
}

// Remove drops a queued item and reports whether it was queued.
func (u *Upstream) Remove(k Key) bool {
	cu, ok := u.waiting[k]
	if ok {
		u.take(cu, slices.IndexFunc(cu.queue, func(it Item) bool { return it.Key == k }))
	}
	return ok
}

// Pop grants and returns the next queued item if there is capacity for it.
// Items that can no longer finish in time are dropped; ExpireQueued returns
// them.
func (u *Upstream) Pop(now time.Time) (Item, bool) {
	u.advance(now)
	for len(u.waiting) > 0 && len(u.running) < u.limit.At(now) {
		cu := u.nextCustomer()
		i := cu.nextIndex(now)
		if cu.class.hasRunning() && missesDeadline(now, cu.queue[i], cu.class.expectedHold()) {
			u.drop(cu, i, packet.ReasonDeadline, 0)
			continue
		}
		it := u.take(cu, i)
		u.grant(cu, it)
		return it, true
	}
	return Item{}, false
}

// ExpireQueued drops the queued items whose deadline has passed, and returns
// all items dropped since the last call.
func (u *Upstream) ExpireQueued(now time.Time) []Dropped {
	u.advance(now)
	for _, c := range u.classes {
		for i := len(c.active) - 1; i >= 0; i-- {
			cu := c.active[i]
			for j := len(cu.queue) - 1; j >= 0; j-- {
				if missesDeadline(now, cu.queue[j], 0) {
					u.drop(cu, j, packet.ReasonDeadline, 0)
				}
			}
		}
	}
	out := u.dropped
	u.dropped = nil
	return out
}

// ExpireGrants releases the grants of openings that no request followed in
// time, and returns their items.
func (u *Upstream) ExpireGrants(now time.Time) []Item {
	u.advance(now)
	var out []Item
	for i := len(u.running) - 1; i >= 0; i-- {
		if g := u.running[i]; g.item.Key.Request == 0 && now.Sub(g.grantedAt) >= openingGrantTimeout {
			u.release(i)
			out = append(out, g.item)
		}
	}
	return out
}

// setLimit replaces the limit. When a probe begins to measure, the latencies
// start anew: samples from before the probe would keep the minimum too high.
func (u *Upstream) setLimit(l concurrencyLimit) {
	if l.probe == probeMeasuring && u.limit.probe != probeMeasuring {
		for _, c := range u.classes {
			c.latency = c.latency.WithRestart()
		}
	}
	u.limit = l
}

// advance moves the time forward and decays the recent use of the classes.
func (u *Upstream) advance(now time.Time) {
	if !now.After(u.now) {
		return
	}
	u.now = now
	if now.Sub(u.decayedAt) < shareWindow/100 {
		return
	}
	f := math.Exp(-now.Sub(u.decayedAt).Seconds() / shareWindow.Seconds())
	u.decayedAt = now
	for _, c := range u.classes {
		c.used *= f
	}
}

// classState returns the state of a class and applies its current settings.
func (u *Upstream) classState(m model.Class) *class {
	for _, c := range u.classes {
		if c.model.Name == m.Name {
			c.model = m
			return c
		}
	}
	c := &class{model: m, customers: make(map[string]*customer)}
	u.classes = append(u.classes, c)
	return c
}

func (u *Upstream) grant(cu *customer, it Item) {
	hold := cu.class.expectedHold()
	cu.class.charge(cu, hold)
	u.running = append(u.running, grant{item: it, customer: cu, grantedAt: u.now, charged: hold})
}

// release ends a grant and charges the capacity that it really used, so that
// slow requests and openings without requests count towards their customer.
func (u *Upstream) release(i int) grant {
	g := u.running[i]
	last := len(u.running) - 1
	u.running[i] = u.running[last]
	u.running[last] = grant{}
	u.running = u.running[:last]
	g.customer.running--
	g.customer.class.running--
	g.customer.class.adjustUsage(g.customer, u.now.Sub(g.grantedAt).Seconds()-g.charged)
	return g
}

func (u *Upstream) take(cu *customer, i int) Item {
	it := cu.class.take(cu, i)
	delete(u.waiting, it.Key)
	return it
}

func (u *Upstream) drop(cu *customer, i int, r packet.Reason, after time.Duration) {
	u.dropped = append(u.dropped, Dropped{Item: u.take(cu, i), Reason: r, RetryAfter: after})
}

// retryAfter returns the expected wait within bounds and with jitter, so that
// clients do not retry at the same time.
func retryAfter(wait time.Duration, rnd *rand.Rand) time.Duration {
	return limit.Jitter(min(max(wait, minRetryAfter), maxRetryAfter), rnd)
}

const (
	// minRetryAfter is 5 service times of 20 ms.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)
