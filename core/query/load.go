package query

import (
	"time"

	"egretdock/core/table"
)

// requestsPerSlot estimates the requests in progress per slot of the own data
// centre. It scales those of this balancer up by the number of balancers.
func (p *placement) requestsPerSlot(g *table.Group, size FleetSize) float64 {
	sum := 0.0
	for _, b := range g.Local {
		sum += b.State.HealthSnapshot().Concurrency(p.now)
	}
	return sum * float64(size.Balancers) / float64(g.LocalSlots)
}

// lowestLatency returns the lowest known latency among the instances of a
// service, or 0 when none is known.
func lowestLatency(g *table.Group, now time.Time) time.Duration {
	var low time.Duration
	for _, set := range [][]*table.Backend{g.Local, g.Remote} {
		for _, b := range set {
			if l := b.State.HealthSnapshot().Latency(now); l > 0 && (low == 0 || l < low) {
				low = l
			}
		}
	}
	return low
}

// meanLatency returns the mean of the known latencies of instances, or 0 when
// none is known.
func (p *placement) meanLatency(set []*table.Backend) time.Duration {
	var sum time.Duration
	n := 0
	for _, b := range set {
		if l := b.State.HealthSnapshot().Latency(p.now); l > 0 {
			sum += l
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

const (
	// warmupPenalty multiplies the flow count of an instance in slow start
	// while its latency is not known.
	warmupPenalty = 2
	// recoveryPenalty multiplies the flow count of an instance that failed
	// recently.
	recoveryPenalty = 2
	// maxSlowdown caps the factor by which a high latency raises an instance's
	// load.
	maxSlowdown = 8.0
)

// flowCount returns the number of flows per 100 slots that this balancer has
// sent to an instance: the open ones if flows are long-lived, else those placed
// recently.
func (p *placement) flowCount(b *table.Backend) int {
	n := int(b.State.RecentPlacements())
	if p.longLived {
		n = int(b.State.OpenFlows())
	}
	return (n + 1) * 100 / b.Instance.Slots
}

// meanFlowCount returns the mean flow count of the ready instances in the own
// data centre, or in the others of the region when it has none.
func (p *placement) meanFlowCount(g *table.Group) int {
	set := g.Local
	if len(set) == 0 {
		set = g.Remote
	}
	sum := 0
	for _, b := range set {
		sum += p.flowCount(b)
	}
	return sum / max(1, len(set))
}

// load returns the flow count of an instance, weighted by its latency relative
// to the lowest of the service.
func (p *placement) load(b *table.Backend) int {
	n := p.flowCount(b)
	health := b.State.HealthSnapshot()
	if health.Recovering(p.now) {
		// It got no flows while it was avoided, so its low count alone would
		// attract all new flows.
		n = max(n, p.meanFlows) * recoveryPenalty
	}
	switch l := health.Latency(p.now); {
	case l > 0 && p.baseLatency > 0:
		return int(float64(n) * min(float64(l)/float64(p.baseLatency), maxSlowdown))
	case p.now.Sub(b.StatusSince) < b.Instance.WarmupLeft:
		return n * warmupPenalty
	}
	return n
}
