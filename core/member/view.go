// Package member decides which balancers are live and which of them owns an
// upstream.
package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/model"
)

// View is the set of live balancers as one balancer sees it. It is immutable;
// the zero value is empty.
type View struct {
	// balancers are sorted by name.
	balancers []model.Balancer
}

// NewView returns a view of the given balancers.
func NewView(bs []model.Balancer) View {
	out := slices.Clone(bs)
	slices.SortFunc(out, func(a, b model.Balancer) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		default:
			return 0
		}
	})
	return View{balancers: out}
}

// Balancers returns the live balancers in order of name; users must not
// modify the slice.
func (v View) Balancers() []model.Balancer { return v.balancers }

// Len returns the number of live balancers.
func (v View) Len() int { return len(v.balancers) }

// Get returns the named balancer.
func (v View) Get(name string) (model.Balancer, bool) {
	i, ok := slices.BinarySearchFunc(v.balancers, name, func(b model.Balancer, n string) int {
		switch {
		case b.Name < n:
			return -1
		case b.Name > n:
			return 1
		default:
			return 0
		}
	})
	if !ok {
		return model.Balancer{}, false
	}
	return v.balancers[i], true
}

// With returns a copy in which b is added or replaces the balancer of the same
// name.
func (v View) With(b model.Balancer) View {
	return NewView(append(v.Without(b.Name).balancers, b))
}

// Without returns a copy that lacks the named balancer.
func (v View) Without(name string) View {
	out := make([]model.Balancer, 0, len(v.balancers)+1)
	for _, b := range v.balancers {
		if b.Name != name {
			out = append(out, b)
		}
	}
	return View{balancers: out}
}

// Owner returns the balancer that admits work for an upstream: the first by
// rendezvous hash among the live balancers of the upstream's data centre, or
// among all when that data centre has none. It reports false when no balancer
// is live.
func (v View) Owner(u model.Upstream) (model.Balancer, bool) {
	if b, ok := v.first(u, true); ok {
		return b, true
	}
	return v.first(u, false)
}

func (v View) first(u model.Upstream, local bool) (model.Balancer, bool) {
	best, found := -1, false
	var top uint64
	key := xxhash.Sum64String(u.Name)
	for i := range v.balancers {
		b := &v.balancers[i]
		if local && b.DataCentre != u.DataCentre {
			continue
		}
		if h := mix(key ^ xxhash.Sum64String(b.Name)); !found || h > top {
			best, top, found = i, h, true
		}
	}
	if !found {
		return model.Balancer{}, false
	}
	return v.balancers[best], true
}

// mix spreads the combined hash of two names, so that the order of balancers
// differs from one upstream to the next.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
