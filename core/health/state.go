package health

import (
	"slices"
	"time"
)

const (
	// maxFailures is the number of consecutive failures that ejects. It is above
	// 1 so that a single lost packet does not eject.
	maxFailures = 5
	// maxSheds is the number of consecutive sheds that ejects. Sheds come in
	// bursts until the concurrency limit has adapted.
	maxSheds = 20
	// maxBadReports is the number of consecutive bad reports that ejects.
	maxBadReports = 2
	// trafficPrecedence is how long after a success of passing traffic bad
	// reports can't eject.
	trafficPrecedence = 5 * time.Second
	// minEjection and maxEjection bound the duration of an ejection, which
	// doubles with each consecutive one. Traffic then tries the upstream again,
	// since without traffic a wrong report could never be refuted.
	minEjection, maxEjection = 5 * time.Second, time.Minute
	// drainGrace is how long established flows may still send requests after
	// draining began.
	drainGrace = 3 * time.Second
	// latePacketTime is how long after a restart packets of the former
	// incarnation may still arrive.
	latePacketTime = 2 * time.Second
	// minBackoff and maxBackoff bound the time for which new flows avoid an
	// upstream after a failure of passing traffic. The time doubles with each
	// consecutive failure. One lost packet costs minBackoff at one balancer.
	minBackoff, maxBackoff = time.Second, 8 * time.Second
	// failureHalfLife is long enough to recognize an upstream that goes down and
	// up every few seconds, and short enough to forget a single failure within
	// about 10 s.
	failureHalfLife = 5 * time.Second
	// confirmTime is how long a failure at one balancer may confirm one at
	// another. Balancers exchange failures four times a second, and one of 35
	// balancers sends a request to each of 30 instances every 2 to 3 s.
	confirmTime = 3 * time.Second
	// relapseFailures is the number of recent failures from which a success does
	// not end the backoff. One lost packet must not reach it.
	relapseFailures = 1.5
	// latencyWeight is the weight of the latest answer in the mean latency: the
	// last ten answers make up nine tenths of it.
	latencyWeight = 0.2
	// latencyMaxAge is how long the mean latency is valid after the last answer.
	latencyMaxAge = 3 * time.Second
	// busyHalfLife covers about ten requests from one balancer of a data centre
	// and is short enough to follow a burst.
	busyHalfLife = 1500 * time.Millisecond
	// maxFormer is the number of former incarnations whose delayed reports are
	// recognized.
	maxFormer = 4
)

// State is the health of one upstream as observed by this balancer. It is
// immutable; the zero value is an upstream without any signal and is eligible.
type State struct {
	// incarnation is 0 until it is known.
	incarnation uint64
	// former holds earlier incarnations, latest first; never modified in place.
	former []uint64
	// replaced is when this incarnation replaced another, or zero.
	replaced time.Time
	slots    int
	// drainingSince is when draining began, or zero.
	drainingSince time.Time
	// leaving is the latest value from the host list, for any incarnation.
	leaving bool
	// lastSuccess is the time of the last success of passing traffic.
	lastSuccess time.Time
	// These count consecutive failed openings, failed requests, sheds and bad
	// reports.
	failedOpenings, failedRequests, sheds, badReports int
	// lastFailure is the time of the last failure of passing traffic.
	lastFailure time.Time
	// failures is the number of recent failures as of countedAt, including
	// confirmed failures at other balancers. It halves every failureHalfLife; a
	// success does not reset it.
	failures  float64
	countedAt time.Time
	// peer is the balancer that last reported a failure, at peerFailure.
	peer        uint64
	peerFailure time.Time
	// lastConfirmed is the last time at which two balancers had observed a
	// failure.
	lastConfirmed time.Time
	// latency is the weighted mean latency of recent answers, the last of which
	// came at lastAnswer.
	latency    time.Duration
	lastAnswer time.Time
	// busy is the total duration of recent requests as of lastAnswer. It halves
	// every busyHalfLife.
	busy time.Duration
	// ejectedAt and ejectedUntil are the start and end of the last ejection, and
	// ejections is the number of ejections since the last success.
	ejectedAt, ejectedUntil time.Time
	ejections               int
	// reportsOnly is true when only reports caused the ejection.
	reportsOnly bool
}

// With returns a copy that takes a signal into account.
func (s State) With(now time.Time, sig Signal) State {
	switch sig := sig.(type) {
	case Report:
		return s.withReport(now, sig)
	case HostList:
		return s.withHostList(now, sig)
	case Accepted:
		if s, ok := s.withTraffic(now, sig.Incarnation); ok {
			return s.withAccept(now)
		}
	case Answered:
		if s, ok := s.withTraffic(now, sig.Incarnation); ok {
			return s.withAnswer(now).withLatency(now, sig.Latency)
		}
	case Refused:
		if s, ok := s.withTraffic(now, sig.Incarnation); ok {
			return s.withRefusal(now, sig)
		}
	case FailedAtPeer:
		return s.withFailureAtPeer(now, sig)
	case Failed:
		// A failure does not establish an incarnation, but counts while none is
		// known.
		if sig.Incarnation == s.incarnation || sig.Incarnation == 0 || s.incarnation == 0 {
			return s.withFailure(now, sig)
		}
	}
	return s
}

func (s State) withReport(now time.Time, r Report) State {
	if slices.Contains(s.former, r.Incarnation) {
		return s
	}
	first := s.incarnation == 0
	s = s.withIncarnation(now, r.Incarnation)
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	if r.Draining {
		s = s.withDraining(now)
		if first {
			// Draining began before this balancer knew the upstream, perhaps under
			// another owner, so the grace must not start again.
			s.drainingSince = now.Add(-drainGrace)
		}
	}
	if r.Healthy {
		s.badReports = 0
		if s.reportsOnly {
			s = s.withoutEjection()
		}
		return s
	}
	s.badReports++
	if s.badReports >= maxBadReports && now.Sub(s.lastSuccess) > trafficPrecedence {
		s = s.withEjection(now, true)
	}
	return s
}

// withHostList starts draining when the list first marks the host as leaving. A
// repeated entry changes nothing, since it may be older than a restart of the
// upstream.
func (s State) withHostList(now time.Time, l HostList) State {
	if l.Leaving && !s.leaving {
		s = s.withDraining(now)
	}
	s.leaving = l.Leaving
	return s
}

// withTraffic returns the state of the incarnation that sent a packet. It
// reports false for a late packet of a former incarnation.
func (s State) withTraffic(now time.Time, incarnation uint64) (State, bool) {
	if slices.Contains(s.former, incarnation) && now.Sub(s.replaced) < latePacketTime {
		return s, false
	}
	return s.withIncarnation(now, incarnation), true
}

// withIncarnation resets the state when the incarnation changes, except for the
// former incarnations and the host list.
func (s State) withIncarnation(now time.Time, incarnation uint64) State {
	switch {
	case incarnation == 0 || incarnation == s.incarnation:
		return s
	case s.incarnation == 0:
		s.incarnation = incarnation
		return s
	}
	former := make([]uint64, 0, maxFormer+1)
	former = append(former, s.incarnation)
	for _, f := range s.former {
		if f != incarnation {
			former = append(former, f)
		}
	}
	return State{
		incarnation: incarnation,
		former:      former[:min(len(former), maxFormer)],
		replaced:    now,
		leaving:     s.leaving,
	}
}

// withAccept counts as a success only while requests don't fail: an upstream
// may accept flows and answer nothing.
func (s State) withAccept(now time.Time) State {
	s.failedOpenings = 0
	if s.failedRequests == 0 && s.sheds == 0 {
		return s.withSuccess(now)
	}
	return s
}

func (s State) withAnswer(now time.Time) State {
	s.failedOpenings, s.failedRequests, s.sheds = 0, 0, 0
	return s.withSuccess(now)
}

func (s State) withLatency(now time.Time, latency time.Duration) State {
	if latency <= 0 {
		return s
	}
	if now.Sub(s.lastAnswer) > latencyMaxAge {
		s.latency = latency
	} else {
		s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
	}
	s.busy = s.busyAt(now) + latency
	s.lastAnswer = now
	return s
}

func (s State) withSuccess(now time.Time) State {
	s.lastSuccess = now
	s.badReports = 0
	return s.withoutEjection()
}

func (s State) withRefusal(now time.Time, r Refused) State {
	if r.Draining {
		return s.withDraining(now)
	}
	s.sheds++
	if s.sheds >= maxSheds {
		s = s.withEjection(now, false)
	}
	return s
}

func (s State) withDraining(now time.Time) State {
	if s.drainingSince.IsZero() {
		s.drainingSince = now
	}
	return s
}
