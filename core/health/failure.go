package health

import "time"

func (s State) withFailure(now time.Time, f Failed) State {
	if f.Opening {
		s.failedOpenings++
	} else {
		s.failedRequests++
	}
	s = s.withFailureCounted(now)
	s.lastFailure = now
	if max(s.failedOpenings, s.failedRequests) >= maxFailures {
		s = s.withEjection(now, false)
	}
	return s
}

func (s State) withFailureCounted(now time.Time) State {
	s.failures, s.countedAt = s.failuresAt(now)+1, now
	return s
}

// withFailureAtPeer counts a failure at a peer when this balancer or another
// peer has recently observed one too.
func (s State) withFailureAtPeer(now time.Time, f FailedAtPeer) State {
	confirmedHere := !s.lastFailure.IsZero() && now.Sub(s.lastFailure) < confirmTime
	confirmedByPeer := s.peer != 0 && s.peer != f.Peer && now.Sub(s.peerFailure) < confirmTime
	s.peer, s.peerFailure = f.Peer, now
	if confirmedHere || confirmedByPeer {
		s = s.withFailureCounted(now)
		s.lastConfirmed = now
	}
	return s
}

// withEjection starts an ejection. Counters stay one below their limits, so
// that the first failure or shed of traffic after the ejection starts the next.
func (s State) withEjection(now time.Time, reportsOnly bool) State {
	s.failedOpenings, s.failedRequests, s.sheds = min(s.failedOpenings, maxFailures-1), min(s.failedRequests, maxFailures-1), min(s.sheds, maxSheds-1)
	s.badReports = 0
	if now.Before(s.ejectedUntil) {
		s.reportsOnly = s.reportsOnly && reportsOnly
		return s
	}
	s.ejectedAt, s.reportsOnly = now, reportsOnly
	s.ejectedUntil = now.Add(min(minEjection<<min(s.ejections, 8), maxEjection))
	s.ejections++
	return s
}

func (s State) withoutEjection() State {
	s.ejectedAt, s.ejectedUntil, s.ejections, s.reportsOnly = time.Time{}, time.Time{}, 0, false
	return s
}
