package health

import "time"

func (s State) withFailure(now time.Time, f Failed) State {
	if f.Opening {
		s.opens++
	} else {
		s.requests++
	}
	s = s.withCounted(now)
	s.failed = now
	if max(s.opens, s.requests) >= failLimit {
		s = s.withEjection(now, false)
	}
	return s
}

func (s State) withCounted(now time.Time) State {
	s.failures, s.counted = s.failuresAt(now)+1, now
	return s
}

// withTold counts a failure elsewhere when another balancer, or this one, saw
// one too.
func (s State) withTold(now time.Time, t FailedAtPeer) State {
	own := !s.failed.IsZero() && now.Sub(s.failed) < tellTime
	other := s.teller != 0 && s.teller != t.Peer && now.Sub(s.told) < tellTime
	s.teller, s.told = t.Peer, now
	if own || other {
		s = s.withCounted(now)
		s.confirmed = now
	}
	return s
}

// withEjection starts an ejection. Counters stay one below their limits, so
// that the first bad signal of traffic after the ejection starts the next.
func (s State) withEjection(now time.Time, reported bool) State {
	s.opens, s.requests, s.sheds = min(s.opens, failLimit-1), min(s.requests, failLimit-1), min(s.sheds, shedLimit-1)
	s.reports = 0
	if now.Before(s.until) {
		s.reported = s.reported && reported
		return s
	}
	s.ejected, s.reported = now, reported
	s.until = now.Add(min(ejectFirst<<min(s.ejections, 8), ejectMost))
	s.ejections++
	return s
}

func (s State) withoutEjection() State {
	s.ejected, s.until, s.ejections, s.reported = time.Time{}, time.Time{}, 0, false
	return s
}
