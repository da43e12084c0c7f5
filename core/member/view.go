// Package member decides which balancers are live and which of them owns an
// upstream.
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
	// leaving are reachable but own nothing; sorted by name.
	leaving []model.Balancer
	// index speeds up Owner; nil when Indexed was not called.
	index *index
}

// index holds the hashes of the live balancers' names by data centre.
type index struct {
	local map[string][]candidate
	all   []candidate
}

// candidate is a balancer that may own an upstream.
type candidate struct {
	hash uint64
	// at is the place in View.balancers.
	at int
}

// WithOwnerIndex returns a copy in which Owner looks only at one data centre. It pays
// for views that are asked for many owners.
func (v View) WithOwnerIndex() View {
	ix := &index{local: make(map[string][]candidate), all: candidates(v.balancers)}
	for _, c := range ix.all {
		dc := v.balancers[c.at].DataCentre
		ix.local[dc] = append(ix.local[dc], c)
	}
	v.index = ix
	return v
}

func candidates(bs []model.Balancer) []candidate {
	out := make([]candidate, len(bs))
	for i, b := range bs {
		out[i] = candidate{hash: xxhash.Sum64String(b.Name), at: i}
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

// Balancers returns the live balancers in order of name; users must not
// modify the slice.
func (v View) Balancers() []model.Balancer { return v.balancers }

// Equal reports whether two views hold the same balancers.
func (v View) Equal(o View) bool {
	return slices.Equal(v.balancers, o.balancers) && slices.Equal(v.leaving, o.leaving)
}

// Len returns the number of live balancers.
func (v View) Len() int { return len(v.balancers) }

// Leaving returns the leaving balancers in order of name; users must not
// modify the slice.
func (v View) Leaving() []model.Balancer { return v.leaving }

// Get returns the named live balancer.
func (v View) Get(name string) (model.Balancer, bool) { return find(v.balancers, name) }

// With returns a copy in which b is added or replaces the balancer of the same
// name.
func (v View) With(b model.Balancer) View {
	return NewView(append(v.Without(b.Name).balancers, b)).WithLeaving(v.leaving)
}

// Without returns a copy that lacks the named balancer.
func (v View) Without(name string) View {
	out := make([]model.Balancer, 0, len(v.balancers)+1)
	for _, b := range v.balancers {
		if b.Name != name {
			out = append(out, b)
		}
	}
	return View{balancers: out, leaving: v.leaving}
}

// Owner returns the balancer that admits work for an upstream: the first by
// rendezvous hash among the live balancers of the upstream's data centre, or
// among all when that data centre has none. It reports false when no balancer
// is live.
func (v View) Owner(u model.Upstream) (model.Balancer, bool) {
	if v.index == nil {
		v = v.WithOwnerIndex()
	}
	cs := v.index.local[u.DataCentre]
	if len(cs) == 0 {
		cs = v.index.all
	}
	if len(cs) == 0 {
		return model.Balancer{}, false
	}
	key := xxhash.Sum64String(u.Name)
	best, top := cs[0].at, rank.Mix(key^cs[0].hash)
	for _, c := range cs[1:] {
		if h := rank.Mix(key ^ c.hash); h > top {
			best, top = c.at, h
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

// withEdits returns a copy with the edits applied in order. It copies the view
// once, however many edits there are.
func (v View) withEdits(edits []edit) View {
	v.balancers, v.leaving, v.index = slices.Clone(v.balancers), slices.Clone(v.leaving), nil
	for _, e := range edits {
		v.balancers = place(v.balancers, e.balancer, e.live)
		v.leaving = place(v.leaving, e.balancer, e.leaving)
	}
	return v
}

// place puts b into a sorted slice, or takes it out.
func place(bs []model.Balancer, b model.Balancer, in bool) []model.Balancer {
	i, found := slices.BinarySearchFunc(bs, b.Name, byName)
	switch {
	case found && in:
		bs[i] = b
	case found:
		return slices.Delete(bs, i, i+1)
	case in:
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
