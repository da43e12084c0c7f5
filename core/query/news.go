package query

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/rank"
	"egretdock/core/table"
)

// InForce says which routes and instances a balancer has in force. It is
// immutable.
type InForce struct {
	// Version and Routing are the version and the position of the routes.
	Version uint64
	Routing model.Position
	// List is the position of the list of instances.
	List model.Position
}

// InForceOf returns what a view has in force.
func InForceOf(d *table.DirectView) InForce {
	return InForce{Version: d.Routing.Version, Routing: d.Routing.Position, List: d.Roster.Position}
}

// Complete reports whether both routes and instances are known.
func (i InForce) Complete() bool { return !i.Routing.IsZero() && !i.List.IsZero() }

// News is an update of routes and instances for a balancer that has older
// ones. It is immutable.
type News struct {
	// Routing has no position when the receiver's routes are up to date.
	Routing model.Routing
	// ListPosition is that of the instance list with Entries applied.
	ListPosition model.Position
	// FullList is true when Entries are the full list instead of changes.
	FullList bool
	Entries  []model.InstanceChange
	// RoutingAge and ListAge are the times since the store last confirmed the
	// routes and the list.
	RoutingAge, ListAge time.Duration
	// StoreUnavailable is true while the store does not answer the sender.
	StoreUnavailable bool
}

// Empty reports whether the news only confirms what the receiver has.
func (n News) Empty() bool {
	return n.Routing.Position.IsZero() && len(n.Entries) == 0 && !n.FullList && !n.StoreUnavailable
}

// NewsAfter returns the news for a balancer that has older routes or instances in
// force.
func NewsAfter(d *table.DirectView, known InForce, now time.Time) News {
	n := News{
		ListPosition: d.Roster.Position, StoreUnavailable: d.Roster.StoreUnavailable,
		RoutingAge: now.Sub(d.RoutingConfirmed), ListAge: now.Sub(d.RosterConfirmed),
	}
	if d.Routing.Supersedes(model.Routing{Version: known.Version, Position: known.Routing}) {
		n.Routing = d.Routing
	}
	if d.Roster.Position.After(known.List) {
		n.Entries, n.FullList = d.Roster.ChangesSince(known.List)
	}
	return n
}

// StoreReaders returns the live balancers of a data centre in the order in which
// they read the store for it: those with the largest capacity first, then by the
// hash of their names. While balancers disagree on the members, several read the
// store, which only costs extra calls.
func StoreReaders(v member.View, dataCentre string) []model.Balancer {
	var out []model.Balancer
	for _, b := range v.Balancers() {
		if b.DataCentre == dataCentre && b.Fetch.IsValid() {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b model.Balancer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	return out
}

// LocalPeers returns the other live balancers of self's data centre.
func LocalPeers(v member.View, self model.Balancer) []model.Balancer {
	var out []model.Balancer
	for _, b := range v.Balancers() {
		if b.DataCentre == self.DataCentre && b.Name != self.Name && b.Fetch.IsValid() {
			out = append(out, b)
		}
	}
	return out
}

const (
	// localKeepers is the number of balancers of the own data centre that are told
	// of a flow, and flowKeepers the number in all.
	localKeepers = 2
	flowKeepers  = 3
)

// FlowKeepers returns the other live balancers that are told where a flow is open:
// those of self's data centre first, which take its packets when self stops. The
// order of a group depends on the flow.
func FlowKeepers(v member.View, self model.Balancer, f packet.FlowID) []model.Balancer {
	local, others := rankedPeers(v, self, f.Hash())
	local = local[:min(len(local), localKeepers)]
	return append(local, others[:min(len(others), flowKeepers-len(local))]...)
}

// FlowWitnesses returns the balancers that may know where a flow is open: all of
// self's data centre, also those that are stopping, and the first others in
// FlowKeepers' order.
func FlowWitnesses(v member.View, self model.Balancer, f packet.FlowID) []model.Balancer {
	local, others := rankedPeers(v, self, f.Hash())
	local = append(local, others[:min(len(others), flowKeepers)]...)
	for _, b := range v.Leaving() {
		if b.DataCentre == self.DataCentre && b.Name != self.Name {
			local = append(local, b)
		}
	}
	return local
}

// rankedPeers returns the other live balancers that serve news, in the order of
// their hashes with a key, in two groups: those of self's data centre and the others.
func rankedPeers(v member.View, self model.Balancer, key uint64) (local, others []model.Balancer) {
	for _, b := range v.Balancers() {
		switch {
		case b.Name == self.Name || !b.Fetch.IsValid():
		case b.DataCentre == self.DataCentre:
			local = append(local, b)
		default:
			others = append(others, b)
		}
	}
	score := func(b model.Balancer) uint64 { return rank.Mix(key ^ xxhash.Sum64String(b.Name)) }
	for _, list := range [][]model.Balancer{local, others} {
		slices.SortFunc(list, func(a, b model.Balancer) int { return cmp.Compare(score(a), score(b)) })
	}
	return local, others
}

// NewsSources returns the other live balancers that serve news, those of self's
// data centre first. The order within each group differs between balancers, so
// that many that start at once don't all ask the same one.
func NewsSources(v member.View, self model.Balancer) []model.Balancer {
	local, others := rankedPeers(v, self, xxhash.Sum64String(self.Name))
	return append(local, others...)
}
