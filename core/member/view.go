// Package member implements gossip-based membership and failure detection, and
// determines which balancer owns an upstream.
package member

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/model"
	"egretdock/core/rank"
)

// View is the set of live balancers as one balancer sees it. It is immutable;
// the zero value is empty.
type View struct {
	// balancers are live and sorted by name.
	balancers []model.Balancer
	// leaving balancers are reachable but own nothing; sorted by name.
	leaving []model.Balancer
	// owners speeds up Owner; nil if WithOwnerIndex was not called.
	owners *ownerIndex
}

// ownerIndex holds the hashes of the live balancers' names, by data centre and
// of all.
type ownerIndex struct {
	byDataCentre map[string][]candidate
	all          []candidate
}

// candidate is a balancer that may own an upstream.
type candidate struct {
	hash uint64
	// position is the index in View.balancers.
	position int
}

// WithOwnerIndex returns a copy with an index by data centre, so that Owner
// need not build one on each call. Use it for views on which Owner is called
// often.
func (v View) WithOwnerIndex() View {
	ix := &ownerIndex{byDataCentre: make(map[string][]candidate), all: candidates(v.balancers)}
	for _, c := range ix.all {
		dc := v.balancers[c.position].DataCentre
		ix.byDataCentre[dc] = append(ix.byDataCentre[dc], c)
	}
	v.owners = ix
	return v
}

func candidates(bs []model.Balancer) []candidate {
	out := make([]candidate, len(bs))
	for i, b := range bs {
		out[i] = candidate{hash: xxhash.Sum64String(b.Name), position: i}
	}
	return out
}

// NewView returns a view of the given balancers.
func NewView(bs []model.Balancer) View { return View{balancers: sorted(bs)} }

// WithLeaving returns a copy with the given balancers as the leaving ones.
func (v View) WithLeaving(bs []model.Balancer) View {
	v.leaving = sorted(bs)
	return v
}

// Balancers returns the live balancers sorted by name. Callers must not modify
// the slice.
func (v View) Balancers() []model.Balancer { return v.balancers }

// Equal reports whether two views hold the same balancers.
func (v View) Equal(o View) bool {
	return slices.Equal(v.balancers, o.balancers) && slices.Equal(v.leaving, o.leaving)
}

// Len returns the number of live balancers.
func (v View) Len() int { return len(v.balancers) }

// Leaving returns the leaving balancers sorted by name. Callers must not modify
// the slice.
func (v View) Leaving() []model.Balancer { return v.leaving }

// Get returns the named live balancer.
func (v View) Get(name string) (model.Balancer, bool) { return find(v.balancers, name) }

// With returns a copy with b as a live balancer; b replaces the one of the same
// name.
func (v View) With(b model.Balancer) View {
	return NewView(append(v.Without(b.Name).balancers, b)).WithLeaving(v.leaving)
}

// Without returns a copy whose live balancers lack the named one.
func (v View) Without(name string) View {
	out := make([]model.Balancer, 0, len(v.balancers)+1)
	for _, b := range v.balancers {
		if b.Name != name {
			out = append(out, b)
		}
	}
	return View{balancers: out, leaving: v.leaving}
}

// Owner returns the balancer that admits work for an upstream: the one with the
// highest rendezvous hash among the live balancers of the upstream's data
// centre, or among all when that data centre has none. It reports false when no
// balancer is live.
func (v View) Owner(u model.Upstream) (model.Balancer, bool) {
	if v.owners == nil {
		v = v.WithOwnerIndex()
	}
	cs := v.owners.byDataCentre[u.DataCentre]
	if len(cs) == 0 {
		cs = v.owners.all
	}
	if len(cs) == 0 {
		return model.Balancer{}, false
	}
	key := xxhash.Sum64String(u.Name)
	best, bestHash := cs[0].position, rank.Mix(key^cs[0].hash)
	for _, c := range cs[1:] {
		if h := rank.Mix(key ^ c.hash); h > bestHash {
			best, bestHash = c.position, h
		}
	}
	return v.balancers[best], true
}

func sorted(bs []model.Balancer) []model.Balancer {
	out := slices.Clone(bs)
	slices.SortFunc(out, func(a, b model.Balancer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// edit is a change of one balancer in a view.
type edit struct {
	balancer      model.Balancer
	live, leaving bool
}

// withEdits returns a copy with the edits applied in order. It copies the
// slices once for all edits.
func (v View) withEdits(edits []edit) View {
	v.balancers, v.leaving, v.owners = slices.Clone(v.balancers), slices.Clone(v.leaving), nil
	for _, e := range edits {
		v.balancers = setPresent(v.balancers, e.balancer, e.live)
		v.leaving = setPresent(v.leaving, e.balancer, e.leaving)
	}
	return v
}

// setPresent inserts or replaces b in a slice sorted by name, or deletes it.
func setPresent(bs []model.Balancer, b model.Balancer, present bool) []model.Balancer {
	i, found := slices.BinarySearchFunc(bs, b.Name, byName)
	switch {
	case found && present:
		bs[i] = b
	case found:
		return slices.Delete(bs, i, i+1)
	case present:
		return slices.Insert(bs, i, b)
	}
	return bs
}

func find(bs []model.Balancer, name string) (model.Balancer, bool) {
	i, ok := slices.BinarySearchFunc(bs, name, byName)
	if !ok {
		return model.Balancer{}, false
	}
	return bs[i], true
}

func byName(b model.Balancer, name string) int { return strings.Compare(b.Name, name) }
