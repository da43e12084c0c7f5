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
	// Backend is nil when no instance is available.
	Backend *table.Backend
	// Load is the load per 100 slots by which the instances were compared.
	Load int
	// Candidates is the number of instances compared.
	Candidates int
	// Tier names the set of instances that were compared.
	Tier string
}

const (
	// spillThreshold is the number of requests in progress per slot of the own
	// data centre above which new flows go to other data centres: two slots
	// that are 60% busy have 0.9 each, queued requests included. Bulk requests
	// have a higher threshold, since their transfer is costly.
	spillThreshold, bulkSpillThreshold = 0.9, 4.0
	// slowSpillFraction is the fraction of this overflow that still goes to
	// other data centres while their instances are known to be no faster.
	slowSpillFraction = 0.2
)

// FleetSize holds the sizes of the fleet that placement depends on.
type FleetSize struct {
	// DataCentres is the number of data centres in the own region.
	DataCentres int
	// Balancers is the number of live balancers in the own data centre, this
	// one included. The packets of its clients are spread evenly over them.
	Balancers int
}

// FleetSizeOf returns the sizes as seen by a balancer with these members and
// this locality.
func FleetSizeOf(v member.View, l table.Locality) FleetSize {
	s := FleetSize{DataCentres: l.DataCentresInRegion()}
	for _, b := range v.Balancers() {
		if b.DataCentre == l.DataCentre && b.Fetch.IsValid() {
			s.Balancers++
		}
	}
	s.Balancers = max(1, s.Balancers)
	return s
}

// UnresponsiveInstances returns the instances that have not answered openings
// of other flows from the same client to the same address. A client whose
// opening is refused tries again on another flow within milliseconds.
func UnresponsiveInstances(h *locks.Holder, s *table.Set, f packet.FlowID) []uint64 {
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
// not answered its opening, unresponsive those that have not answered other
// flows of its client; both are chosen last.
func Place(d *table.DirectView, route model.Route, f packet.FlowID, tried *table.Track, unresponsive []uint64, size FleetSize, now time.Time) Choice {
	hash := rank.Mix(f.Hash())
	g := d.Group(route.SelectService(hash))
	p := placement{now: now, hash: hash, longLived: route.Idempotent, tried: tried, unresponsive: unresponsive}
	p.baseLatency = lowestLatency(g, now)
	p.meanFlows = p.meanFlowCount(g)
	if p.servesLocally(g, size, route.Bulk, rank.Mix(hash)) {
		if c := p.choose("local", true, g.Local); c.Backend != nil {
			return c
		}
	}
	if c := p.choose("any", true, g.Local, g.Remote); c.Backend != nil {
		return c
	}
	if c := p.choose("far", true, g.OtherRegions); c.Backend != nil {
		return c
	}
	if c := p.choose("doubtful", false, g.Local, g.Remote, g.OtherRegions); c.Backend != nil {
		return c
	}
	if c := p.choose("lapsed", false, g.Lapsed); c.Backend != nil {
		return c
	}
	p.tried, p.unresponsive = &table.Track{}, nil
	return p.choose("again", false, g.Local, g.Remote, g.OtherRegions, g.Lapsed)
}

// servesLocally reports whether a flow stays in its own data centre; draw is
// uniformly distributed. The busier the own instances are, the more flows go
// elsewhere. Until a latency is known, a data centre with less than its share
// of the slots keeps flows in proportion to them.
func (p *placement) servesLocally(g *table.Group, size FleetSize, bulk bool, draw uint64) bool {
	if g.LocalSlots == 0 {
		return false
	}
	stay, from := 1.0, bulkSpillThreshold
	if !bulk {
		from = spillThreshold
	}
	own, other := p.meanLatency(g.Local), p.meanLatency(g.Remote)
	busy := p.requestsPerSlot(g, size)
	switch {
	case own == 0 && !bulk:
		stay = float64(g.LocalSlots*size.DataCentres) / float64(g.Slots)
	case busy > from && other > 0 && other >= own:
		stay = 1 - slowSpillFraction*(1-from/busy)
	case busy > from:
		stay = from / busy
	}
	const parts = 1 << 16
	return float64(draw%parts) < parts*stay
}

type placement struct {
	now       time.Time
	hash      uint64
	longLived bool
	tried     *table.Track
	// unresponsive holds the instances that other flows of the client wait for.
	unresponsive []uint64
	// baseLatency is the lowest known latency of the service, or 0.
	baseLatency time.Duration
	// meanFlows is the mean flow count of the ready instances.
	meanFlows int
}

// choose returns the instance with the least load; ties go to the first in the
// flow's rendezvous order. With skipBackoff, instances in backoff are left out.
func (p *placement) choose(tier string, skipBackoff bool, sets ...[]*table.Backend) Choice {
	c := Choice{Tier: tier}
	var score uint64
	for _, set := range sets {
		trustFindings := skipBackoff && p.trustsFindings(set)
		for _, b := range set {
			if p.tried.HasTried(b.Instance.ID) || slices.Contains(p.unresponsive, b.Instance.ID) || skipBackoff && p.avoids(b, trustFindings) || p.expired(b) {
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

// avoids reports whether an instance gets no new flow while there is another.
// trustFindings says whether the findings of other balancers count.
func (p *placement) avoids(b *table.Backend, trustFindings bool) bool {
	health := b.State.HealthSnapshot()
	return health.InBackoff(p.now) || trustFindings && health.InSharedBackoff(p.now)
}

// maxSharedBackoffFraction is the largest fraction of a set of instances that is
// avoided on the findings of other balancers. When more look unhealthy, the load
// or the network is the likely cause.
const maxSharedBackoffFraction = 0.5

// trustsFindings reports whether few enough instances are in shared backoff to
// trust the findings of other balancers.
func (p *placement) trustsFindings(set []*table.Backend) bool {
	n := 0
	for _, b := range set {
		if b.State.HealthSnapshot().InSharedBackoff(p.now) {
			n++
		}
	}
	return float64(n) <= maxSharedBackoffFraction*float64(len(set))
}

// expired reports whether an instance has been off the list for too long to get
// new flows.
func (p *placement) expired(b *table.Backend) bool {
	return b.Status == roster.StatusLapsed && p.now.Sub(b.StatusSince) >= roster.NewFlowGrace
}
