package query

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/rank"
	"egretdock/core/table"
)

// News is what a balancer knows of routes and instances beyond the revisions of
// another one. It is immutable.
type News struct {
	// Routing has revision 0 when it is not newer.
	Routing model.Routing
	// List is the revision of the list that Entries bring the receiver to.
	List uint64
	// Whole is true when Entries are the whole list and not changes.
	Whole   bool
	Entries []model.InstanceChange
	// RoutingAge and ListAge are the times since the store confirmed them.
	RoutingAge, ListAge time.Duration
	// Away is true while the store does not answer the balancer.
	Away bool
}

// Empty reports whether the news only confirms what the receiver has.
func (n News) Empty() bool {
	return n.Routing.Revision == 0 && len(n.Entries) == 0 && !n.Whole && !n.Away
}

// NewsAfter returns the news for a balancer that has these revisions.
func NewsAfter(d *table.Direct, routing, list uint64, now time.Time) News {
	n := News{
		List: d.Roster.Revision, Away: d.Roster.StoreUnavailable,
		RoutingAge: now.Sub(d.RoutingSeen), ListAge: now.Sub(d.RosterSeen),
	}
	if d.Routing.Revision > routing {
		n.Routing = d.Routing
	}
	if d.Roster.Revision > list {
		n.Entries, n.Whole = d.Roster.ChangesSince(list)
	}
	return n
}

// Reader returns the live balancer that reads the store for a data centre: of
// those with the largest capacity, the first by the hash of its name. While
// members disagree several read, which only costs calls.
func Reader(v member.View, dataCentre string) (model.Balancer, bool) {
	capacity := uint32(0)
	var names []string
	for _, b := range v.Balancers() {
		if b.DataCentre != dataCentre || !b.Fetch.IsValid() || b.Capacity < capacity {
			continue
		}
		if b.Capacity > capacity {
			capacity, names = b.Capacity, nil
		}
		names = append(names, b.Name)
	}
	if len(names) == 0 {
		return model.Balancer{}, false
	}
	return v.Get(rank.Order(names)[0])
}

// Neighbours returns the other live balancers of self's data centre.
func Neighbours(v member.View, self model.Balancer) []model.Balancer {
	var out []model.Balancer
	for _, b := range v.Balancers() {
		if b.DataCentre == self.DataCentre && b.Name != self.Name && b.Fetch.IsValid() {
			out = append(out, b)
		}
	}
	return out
}

// Others returns the live balancers besides self that hand out news: those of
// its data centre first, each in an order that differs from one asker to the
// next, so that many that start at once don't all ask the same one.
func Others(v member.View, self model.Balancer) []model.Balancer {
	key := xxhash.Sum64String(self.Name)
	out := make([]model.Balancer, 0, v.Len())
	for _, b := range v.Balancers() {
		if b.Name != self.Name && b.Fetch.IsValid() {
			out = append(out, b)
		}
	}
	order := func(b model.Balancer) (far int, score uint64) {
		if b.DataCentre != self.DataCentre {
			far = 1
		}
		return far, rank.Mix(key ^ xxhash.Sum64String(b.Name))
	}
	slices.SortFunc(out, func(a, b model.Balancer) int {
		farA, scoreA := order(a)
		farB, scoreB := order(b)
		return cmp.Or(cmp.Compare(farA, farB), cmp.Compare(scoreA, scoreB))
	})
	return out
}
