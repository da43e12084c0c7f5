package member

import "egretdock/core/model"

// LowestRevision returns the lowest of Revisions. It is 0 while a listed host
// has not reported, because that host may be partitioned and still serve.
func (s *State) LowestRevision(dataCentre string) uint64 {
	var lowest uint64
	for i, a := range s.Revisions(dataCentre) {
		if i == 0 || a.Revision < lowest {
			lowest = a.Revision
		}
	}
	return lowest
}

// Newest returns the live balancer that has reported the highest configuration
// revision, and that revision. It reports false when no other is live.
func (s *State) Newest() (model.Balancer, uint64, bool) {
	var best record
	for _, b := range s.view.balancers {
		if r := s.records[b.Name]; r.live() && (!best.statusKnown || r.revision > best.revision) {
			best = r
		}
	}
	return best.balancer, best.revision, best.statusKnown
}

// Reachable returns the named balancer if packets can be sent to it: it is live
// or leaving.
func (v View) Reachable(name string) (model.Balancer, bool) {
	if b, ok := v.Get(name); ok {
		return b, true
	}
	return find(v.leaving, name)
}
