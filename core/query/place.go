package query

import (
	"slices"
	"time"

	"egretdock/core/locks"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/rank"
	"egretdock/core/roster"
	"egretdock/core/table"
)

// Choice is the instance chosen for a new flow.
type Choice struct {
	// Backend is nil when there is none.
	Backend *table.Backend
	// Load is the instance's figure in the comparison, per 100 slots.
	Load int
	// Candidates is the number of instances compared.
	Candidates int
	// Tier names the set that they came from.
	Tier string
}

const (
	// spillFrom is the number of requests in progress for each slot of the own
	// data centre from which new flows go to other data centres: two slots that
	// are 60% busy have 0.9 each, queued ones included. Bulky requests stay
	// longer, since their transfer is costly.
	spillFrom, spillBulkFrom = 0.9, 4.0
	// spillBack is the part of the flows that would go elsewhere that do while
	// the instances there are known to be no faster.
	spillBack = 0.2
)

// Site is what a placement needs to know of the fleet.
type Site struct {
	// DataCentres is the number of data centres in the own region.
	DataCentres int
	// Balancers is the number of live balancers in the own data centre, over
	// which its clients' packets are spread evenly; this one included.
	Balancers int
}

// SiteOf returns the site of a balancer.
func SiteOf(v member.View, l table.Locality) Site {
	s := Site{DataCentres: l.Peers()}
	for _, b := range v.Balancers() {
		if b.DataCentre == l.DataCentre && b.Fetch.IsValid() {
			s.Balancers++
		}
	}
	s.Balancers = max(1, s.Balancers)
	return s
}

// Unanswered returns the instances that have not answered other openings of a
// flow's client to the same address. A client whose opening is refused tries
// again within milliseconds on another flow.
func Unanswered(h *locks.Holder, s *table.Set, f packet.FlowID) []uint64 {
	var out []uint64
	s.Tracks.Waiting(h, func(o packet.FlowID, t table.Track) bool {
		if t.State == table.TrackOpening && o.Client.Addr() == f.Client.Addr() && o.Address == f.Address && o != f {
			out = append(out, t.Tried()...)
		}
		return false
	})
	return out
}

// Place chooses the instance of a new flow. tried holds the instances that have
// not answered its opening, others those of other flows of its client; both are
// chosen last.
func Place(d *table.Direct, route model.Route, f packet.FlowID, tried *table.Track, others []uint64, site Site, now time.Time) Choice {
	hash := rank.Mix(f.Hash())
	g := d.Group(route.SelectService(hash))
	p := placement{now: now, hash: hash, long: route.Idempotent, tried: tried, others: others}
	p.base = lowest(g, now)
	p.usual = p.meanCount(g)
	if p.servesLocally(g, site, route.Bulk, rank.Mix(hash)) {
		if c := p.choose("local", true, g.Local); c.Backend != nil {
			return c
		}
	}
	if c := p.choose("any", true, g.Local, g.Remote); c.Backend != nil {
		return c
	}
	if c := p.choose("far", true, g.Far); c.Backend != nil {
		return c
	}
	if c := p.choose("doubtful", false, g.Local, g.Remote, g.Far); c.Backend != nil {
		return c
	}
	if c := p.choose("lapsed", false, g.Lapsed); c.Backend != nil {
		return c
	}
	p.tried, p.others = &table.Track{}, nil
	return p.choose("again", false, g.Local, g.Remote, g.Far, g.Lapsed)
}

// servesLocally reports whether a flow stays in its own data centre; draw is
// uniform. The busier the own instances are, the more flows go elsewhere. Before
// any answer was seen, a data centre with less than its share of the slots keeps
// flows in proportion.
func (p *placement) servesLocally(g *table.Group, site Site, bulk bool, draw uint64) bool {
	if g.LocalSlots == 0 {
		return false
	}
	stay, from := 1.0, spillBulkFrom
	if !bulk {
		from = spillFrom
	}
	own, other := p.mean(g.Local), p.mean(g.Remote)
	busy := p.busy(g, site)
	switch {
	case own == 0 && !bulk:
		stay = float64(g.LocalSlots*site.DataCentres) / float64(g.Slots)
	case busy > from && other > 0 && other >= own:
		stay = 1 - spillBack*(1-from/busy)
	case busy > from:
		stay = from / busy
	}
	const parts = 1 << 16
	return float64(draw%parts) < parts*stay
}

type placement struct {
	now   time.Time
	hash  uint64
	long  bool
	tried *table.Track
	// others are the instances that other flows of the client wait for.
	others []uint64
	// base is the lowest known latency of the service, or 0.
	base time.Duration
	// usual is the mean count of the ready instances.
	usual int
}

// choose returns the instance with the least load for its slots; among equals
// the first in the flow's rendezvous order.
func (p *placement) choose(tier string, certain bool, sets ...[]*table.Backend) Choice {
	c := Choice{Tier: tier}
	var score uint64
	for _, set := range sets {
		heed := certain && p.heeds(set)
		for _, b := range set {
			if p.tried.HasTried(b.Instance.ID) || slices.Contains(p.others, b.Instance.ID) || certain && p.avoids(b, heed) || p.expired(b) {
				continue
			}
			c.Candidates++
			load, s := p.load(b), rank.Mix(b.Key^p.hash)
			if c.Backend == nil || load < c.Load || load == c.Load && s > score {
				c.Backend, c.Load, score = b, load, s
			}
		}
	}
	return c
}

// avoids reports whether an instance gets no new flow while there is another;
// heed says whether the word of other balancers counts.
func (p *placement) avoids(b *table.Backend, heed bool) bool {
	judged := b.State.Judged()
	return judged.InBackoff(p.now) || heed && judged.InSharedBackoff(p.now)
}

// maxShunned is the part of a set of instances that the word of other balancers
// may set aside: when more look ill, the load or the network is.
const maxShunned = 0.5

// heeds reports whether few enough instances are shunned to believe it.
func (p *placement) heeds(set []*table.Backend) bool {
	n := 0
	for _, b := range set {
		if b.State.Judged().InSharedBackoff(p.now) {
			n++
		}
	}
	return float64(n) <= maxShunned*float64(len(set))
}

// expired reports whether an instance has been off the list for too long to get
// new flows.
func (p *placement) expired(b *table.Backend) bool {
	return b.Status == roster.StatusLapsed && p.now.Sub(b.StatusSince) >= roster.NewFlowGrace
}
