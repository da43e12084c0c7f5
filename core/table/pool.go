package table

import (
	"slices"

	"egretdock/core/model"
	"egretdock/core/rank"
)

const (
	// MaxGenerations is the number of earlier upstream sets that a pool keeps.
	// The search for a flow without a token tries them before all other
	// upstreams.
	MaxGenerations = 4
	// MaxRemoved is the number of removed upstreams that the search for a flow
	// without a token tries. It covers four rolling replacements of a service
	// of 15 upstreams.
	MaxRemoved = 64
)

// Pool is the set of upstreams that serves one customer, with the ranking
// built from it. It is immutable.
type Pool struct {
	// Upstreams are sorted by name.
	Upstreams []model.Upstream
	// Ranking has one name for each upstream, in the same order.
	Ranking rank.Ranking
	// Older holds earlier generations, newest first; their own Older and
	// Removed are nil.
	Older []*Pool
	// Removed are the upstreams of earlier generations that Upstreams lacks,
	// newest first.
	Removed []model.Upstream
}

func newPool(us []model.Upstream) *Pool {
	names := make([]string, len(us))
	for i, u := range us {
		names[i] = u.Name
	}
	return &Pool{Upstreams: us, Ranking: rank.New(names)}
}

// withHistory returns a copy of the pool that follows prev.
func (p *Pool) withHistory(prev *Pool) *Pool {
	n := *p
	last := *prev
	last.Older, last.Removed = nil, nil
	n.Older = append([]*Pool{&last}, prev.Older...)
	if len(n.Older) > MaxGenerations {
		n.Older = n.Older[:MaxGenerations]
	}
	for _, u := range slices.Concat(prev.Upstreams, prev.Removed) {
		if !slices.ContainsFunc(n.Upstreams, func(v model.Upstream) bool { return v.Endpoint == u.Endpoint }) {
			n.Removed = append(n.Removed, u)
		}
	}
	if len(n.Removed) > MaxRemoved {
		n.Removed = n.Removed[:MaxRemoved]
	}
	return &n
}

func (p *Pool) equalUpstreams(us []model.Upstream) bool { return slices.Equal(p.Upstreams, us) }

// spareCandidates is the number of candidates after the highest-ranked ones.
// They are used only when none of those is available, which is one flow in
// eight with half of the upstreams gone.
const spareCandidates = 2

// PlacementCandidates returns the candidates for a new flow, best first: the
// highest-ranked ones, then the spares.
func (p *Pool) PlacementCandidates(flow uint64) Candidates {
	var c Candidates
	c.add(p, flow)
	c.addAll(p.Upstreams, flow, min(c.n+spareCandidates, maxCandidates))
	return c
}

// SearchCandidates returns the upstreams that may hold an established flow, the
// most likely first: the candidates of the current and of earlier generations,
// then all other upstreams, since a flow may have been opened at a spare.
func (p *Pool) SearchCandidates(flow uint64) Candidates {
	var c Candidates
	c.add(p, flow)
	for _, o := range p.Older {
		c.add(o, flow)
	}
	c.addAll(p.Removed, 0, maxCandidates)
	c.addAll(p.Upstreams, flow, maxCandidates)
	return c
}

// maxCandidates bounds the upstreams tried for one packet of unknown route:
// MaxRemoved removed ones and those of a service of 15.
const maxCandidates = 80

// Candidates is a short list of upstreams without duplicates.
type Candidates struct {
	list [maxCandidates]*model.Upstream
	n    int
}

// Len returns the number of candidates.
func (c *Candidates) Len() int { return c.n }

// At returns candidate i, or nil when there is none.
func (c *Candidates) At(i int) *model.Upstream {
	if i < 0 || i >= c.n {
		return nil
	}
	return c.list[i]
}

// ForAttempt returns the candidate that an opening is sent to after a number of
// others, or nil when none is left. Attempts cycle through the highest-ranked
// candidates, beginning at index start, and then go through the spares.
func (c *Candidates) ForAttempt(start, tried int) *model.Upstream {
	ranked := min(rank.TopSize, c.n)
	if tried < ranked {
		return c.At((start + tried) % ranked)
	}
	return c.At(tried)
}

func (c *Candidates) add(p *Pool, flow uint64) {
	top := p.Ranking.Top(flow)
	for i := range top.Len() {
		u := &p.Upstreams[top.At(i)]
		if c.n < maxCandidates && !c.has(u) {
			c.list[c.n] = u
			c.n++
		}
	}
}

// addAll adds upstreams, from index from on and wrapping around, until there
// are limit candidates.
func (c *Candidates) addAll(us []model.Upstream, from uint64, limit int) {
	n := uint64(len(us))
	for i := uint64(0); i < n && c.n < limit; i++ {
		if u := &us[(from+i)%n]; !c.has(u) {
			c.list[c.n] = u
			c.n++
		}
	}
}

func (c *Candidates) has(u *model.Upstream) bool {
	for _, have := range c.list[:c.n] {
		if have.Endpoint == u.Endpoint {
			return true
		}
	}
	return false
}
