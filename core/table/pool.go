package table

import (
	"slices"

	"egretdock/core/model"
	"egretdock/core/slots"
)

// MaxGenerations is the number of earlier upstream sets that a pool keeps. A
// rolling replacement of a service's 15 upstreams makes 15 generations, and a
// flow without a token must be found on any of them.
const MaxGenerations = 16

// Pool is the set of upstreams that serves one customer, with the slot table
// built from it. It is immutable.
type Pool struct {
	// Upstreams are sorted by name.
	Upstreams []model.Upstream
	// Slots has one name for each upstream, in the same order.
	Slots slots.Table
	// Older holds earlier generations, newest first; their own Older is nil.
	Older []*Pool
}

func newPool(us []model.Upstream) *Pool {
	names := make([]string, len(us))
	for i, u := range us {
		names[i] = u.Name
	}
	return &Pool{Upstreams: us, Slots: slots.Build(names)}
}

// withHistory returns a copy of the pool that follows prev.
func (p *Pool) withHistory(prev *Pool) *Pool {
	n := *p
	last := *prev
	last.Older = nil
	n.Older = append([]*Pool{&last}, prev.Older...)
	if len(n.Older) > MaxGenerations {
		n.Older = n.Older[:MaxGenerations]
	}
	return &n
}

func (p *Pool) sameAs(us []model.Upstream) bool { return slices.Equal(p.Upstreams, us) }

// spares is the number of candidates beyond those of the slot. They are used
// only when all of the slot's candidates are out of use; with half of the
// upstreams gone, that is one flow in eight.
const spares = 2

// Placement returns the candidates for a new flow, best first: those of its
// slot, then the spares.
func (p *Pool) Placement(flow uint64) Candidates {
	var c Candidates
	c.add(p, flow)
	c.addSpares(p, flow)
	return c
}

// Search returns the upstreams that may hold an established flow: the current
// candidates first, then those of earlier generations.
func (p *Pool) Search(flow uint64) Candidates {
	var c Candidates
	c.add(p, flow)
	for _, o := range p.Older {
		c.add(o, flow)
	}
	c.addSpares(p, flow)
	return c
}

// maxCandidates bounds the upstreams tried for one packet of unknown route.
const maxCandidates = 16

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

func (c *Candidates) add(p *Pool, flow uint64) {
	for _, i := range p.Slots.Row(flow) {
		u := &p.Upstreams[i]
		if c.n < maxCandidates && !c.has(u) {
			c.list[c.n] = u
			c.n++
		}
	}
}

func (c *Candidates) addSpares(p *Pool, flow uint64) {
	n := uint64(len(p.Upstreams))
	want := min(c.n+spares, maxCandidates, len(p.Upstreams))
	for i := uint64(0); i < n && c.n < want; i++ {
		if u := &p.Upstreams[(flow+i)%n]; !c.has(u) {
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
