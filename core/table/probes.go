package table

import (
	"sync/atomic"
	"time"

	"egretdock/core/locks"
)

// MaxProbes bounds the probes in progress. A probe lasts one round trip to an
// upstream, so the bound is reached only when many upstreams do not respond.
const MaxProbes = 4096

// ProbeKey identifies a packet of unknown route. Two packets of one flow with
// the same request share a probe; the later one replaces the earlier.
type ProbeKey struct {
	FlowKey
	// Request is the request identifier, or 0 for other packets.
	Request uint64
}

// Probes holds the probes in progress. The zero value is empty.
type Probes struct {
	mu locks.Mutex
	m  map[ProbeKey]*Probe
	// n is len(m); it lets Take skip the lock while there are no probes.
	n atomic.Int64
}

// Put starts or replaces a probe. It reports false when the table is full.
func (p *Probes) Put(h *locks.Holder, k ProbeKey, pr *Probe) bool {
	p.mu.Lock(h, locks.RankProbes)
	defer p.mu.Unlock(h, locks.RankProbes)
	if p.m == nil {
		p.m = make(map[ProbeKey]*Probe)
	}
	if _, ok := p.m[k]; !ok && len(p.m) >= MaxProbes {
		return false
	}
	p.m[k] = pr
	p.n.Store(int64(len(p.m)))
	return true
}

// Take removes and returns a probe.
func (p *Probes) Take(h *locks.Holder, k ProbeKey) (*Probe, bool) {
	if p.n.Load() == 0 {
		return nil, false
	}
	p.mu.Lock(h, locks.RankProbes)
	defer p.mu.Unlock(h, locks.RankProbes)
	pr, ok := p.m[k]
	delete(p.m, k)
	p.n.Store(int64(len(p.m)))
	return pr, ok
}

// Expire removes the probes that have had no reply by their deadline.
func (p *Probes) Expire(h *locks.Holder, now time.Time) {
	p.mu.Lock(h, locks.RankProbes)
	defer p.mu.Unlock(h, locks.RankProbes)
	for k, pr := range p.m {
		if now.After(pr.Expires) {
			delete(p.m, k)
		}
	}
	p.n.Store(int64(len(p.m)))
}
