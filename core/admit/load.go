package admit

import (
	"time"

	"egretdock/core/model"
)

// Load returns the current load and limit.
func (u *Upstream) Load() Load {
	return Load{InFlight: len(u.running), Queued: len(u.waiting), Limit: u.limit.At(u.now)}
}

// holdsCapacity reports whether an item uses a slot: feeds never do, uploads
// only for their final request.
func holdsCapacity(it Item) bool {
	switch it.Class.Kind {
	case model.KindRequest:
		return true
	case model.KindUpload:
		return it.Key.Request != 0
	case model.KindFeed:
		return false
	}
	return true
}

// grantIndex returns the index of a granted item, or -1. About maxLimit items
// run at most, for which a scan is faster than a map.
func (u *Upstream) grantIndex(k Key) int {
	for i := range u.running {
		if u.running[i].item.Key == k {
			return i
		}
	}
	return -1
}

// nextCustomer returns the customer whose item is granted next: classes below
// their guaranteed share of recent capacity come first, then the higher
// priority, then the class that used less. At least one item must be queued.
func (u *Upstream) nextCustomer() *customer {
	total := u.totalUsed()
	var best *class
	var bestBelow bool
	for _, c := range u.classes {
		if c.queued == 0 {
			continue
		}
		below := c.used < c.model.MinShare*total
		if best == nil || precedes(c, below, best, bestBelow) {
			best, bestBelow = c, below
		}
	}
	return best.nextCustomer(bestBelow)
}

func precedes(a *class, aBelow bool, b *class, bBelow bool) bool {
	if aBelow != bBelow {
		return aBelow
	}
	if pa, pb := a.topPriority(), b.topPriority(); pa != pb {
		return pa > pb
	}
	return a.used < b.used
}

// totalUsed returns the capacity that all classes used recently.
func (u *Upstream) totalUsed() float64 {
	var total float64
	for _, c := range u.classes {
		total += c.used
	}
	return total
}

// EstimateWait estimates how long an item would wait for its grant. Placement
// compares upstreams by it, since the number of queued items says little about
// the wait of one class.
func (u *Upstream) EstimateWait(it Item) time.Duration {
	if !holdsCapacity(it) || u.Load().HasCapacity() {
		return 0
	}
	for _, c := range u.classes {
		if c.model.Name != it.Class.Name {
			continue
		}
		if cu, ok := c.customers[it.Customer]; ok {
			return u.customerWait(cu)
		}
		return u.customerWait(&customer{class: c, weight: weight(it)})
	}
	return u.customerWait(&customer{class: &class{model: it.Class}, weight: weight(it)})
}

// customerWait estimates how long the next item of a customer would wait.
func (u *Upstream) customerWait(cu *customer) time.Duration {
	c := cu.class
	return toDuration((c.itemsAhead(cu) + 1) * c.expectedHold() / u.availableSlots(c))
}

// minSlots bounds the estimated wait of a class that gets almost no capacity.
const minSlots = 0.05

// availableSlots estimates how many of the upstream's slots serve a class if
// the load of the other classes does not change: those of lower priority keep
// only their guaranteed share.
func (u *Upstream) availableSlots(c *class) float64 {
	limit := float64(u.limit.At(u.now))
	free := limit
	for _, o := range u.classes {
		if o == c {
			continue
		}
		used := o.used / shareWindow.Seconds()
		switch {
		case o.model.Priority > c.model.Priority:
		case o.model.Priority < c.model.Priority:
			used = min(used, o.model.MinShare*limit)
		default:
			used = min(used, max(limit/2, o.model.MinShare*limit))
		}
		free -= used
	}
	return max(free, c.model.MinShare*limit, minSlots)
}

// missesDeadline reports whether an item that needs the given seconds cannot
// finish before its deadline.
func missesDeadline(now time.Time, it Item, need float64) bool {
	return !it.Deadline.IsZero() && !now.Add(toDuration(need)).Before(it.Deadline)
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
