package query

import (
	"time"

	"egretdock/core/table"
)

// busy estimates the requests in progress for each slot of the own data centre
// from those of this balancer.
func (p *placement) busy(g *table.Group, site Site) float64 {
	sum := 0.0
	for _, b := range g.Local {
		sum += b.State.Judged().Concurrency(p.now)
	}
	return sum * float64(site.Balancers) / float64(g.LocalSlots)
}

// lowest returns the lowest known latency of a service, or 0.
func lowest(g *table.Group, now time.Time) time.Duration {
	var low time.Duration
	for _, set := range [][]*table.Backend{g.Local, g.Remote} {
		for _, b := range set {
			if l := b.State.Judged().Latency(now); l > 0 && (low == 0 || l < low) {
				low = l
			}
		}
	}
	return low
}

// mean returns the mean of the known latencies, or 0.
func (p *placement) mean(set []*table.Backend) time.Duration {
	var sum time.Duration
	n := 0
	for _, b := range set {
		if l := b.State.Judged().Latency(p.now); l > 0 {
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
	// warmupPenalty counts the flows of an instance in its slow start this many
	// times while its latency is not known.
	warmupPenalty = 2
	// recoverPenalty does the same for an instance that failed of late.
	recoverPenalty = 2
	// maxSlower bounds how much less an instance gets because it is slow.
	maxSlower = 8.0
)

// count is the number of flows per 100 slots that this balancer has sent to an
// instance: those open now, or those placed of late.
func (p *placement) count(b *table.Backend) int {
	n := int(b.State.Placed())
	if p.long {
		n = int(b.State.Open())
	}
	return (n + 1) * 100 / b.Instance.Slots
}

// meanCount returns the mean count of the ready instances of the own data
// centre, or of the others of the region when it has none.
func (p *placement) meanCount(g *table.Group) int {
	set := g.Local
	if len(set) == 0 {
		set = g.Remote
	}
	sum := 0
	for _, b := range set {
		sum += p.count(b)
	}
	return sum / max(1, len(set))
}

// load is the number of flows per 100 slots, weighted by how slow the instance
// answers.
func (p *placement) load(b *table.Backend) int {
	n := p.count(b)
	judged := b.State.Judged()
	if judged.Recovering(p.now) {
		// It got no flows while it was in doubt, so its count alone would draw
		// all new ones.
		n = max(n, p.usual) * recoverPenalty
	}
	switch l := judged.Latency(p.now); {
	case l > 0 && p.base > 0:
		return int(float64(n) * min(float64(l)/float64(p.base), maxSlower))
	case p.now.Sub(b.StatusSince) < b.Instance.WarmupLeft:
		return n * warmupPenalty
	}
	return n
}
