package health

import (
	"math"
	"time"
)

// Incarnation returns the incarnation, or 0 when it is unknown.
func (s State) Incarnation() uint64 { return s.incarnation }

// Slots returns the number of slots reported, or 0.
func (s State) Slots() int { return s.slots }

// Draining reports whether this incarnation drains. Draining ends only with the
// incarnation.
func (s State) Draining() bool { return !s.drainingSince.IsZero() }

// DrainingFor returns the time since draining began, or 0.
func (s State) DrainingFor(now time.Time) time.Duration {
	if !s.Draining() {
		return 0
	}
	return now.Sub(s.drainingSince)
}

// RefusesRequests reports whether new requests on established flows must be
// refused because the upstream drains.
func (s State) RefusesRequests(now time.Time) bool {
	return s.Draining() && s.DrainingFor(now) >= drainGrace
}

// Ejected reports whether the upstream is ejected because of its health.
func (s State) Ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// InBackoff reports whether new flows avoid the upstream because its latest
// traffic is unanswered, or because it failed repeatedly in the recent past.
func (s *State) InBackoff(now time.Time) bool {
	n := s.failedOpenings + s.failedRequests
	if s.failures >= relapseFailures {
		n = max(n, int(math.Round(s.failures)))
	}
	return n > 0 && now.Sub(s.lastFailure) < backoff(n)
}

// InSharedBackoff reports whether new flows avoid the upstream because at least
// two balancers have seen it fail.
func (s *State) InSharedBackoff(now time.Time) bool {
	return !s.lastConfirmed.IsZero() && now.Sub(s.lastConfirmed) < backoff(max(1, int(math.Round(s.failures))))
}

func backoff(failures int) time.Duration {
	return min(minBackoff<<min(failures-1, 8), maxBackoff)
}

// Recovering reports whether the upstream failed recently, so that its share of
// new flows must grow slowly.
func (s *State) Recovering(now time.Time) bool { return s.failuresAt(now) >= recoveredFailures }

// recoveredFailures is the number of recent failures below which an upstream
// counts as recovered: 5 s after a single failure.
const recoveredFailures = 0.5

func (s *State) failuresAt(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now.Sub(s.countedAt))/float64(failureHalfLife))
}

// Latency returns the mean latency of recent answers, or 0 when there were none.
func (s *State) Latency(now time.Time) time.Duration {
	if now.Sub(s.lastAnswer) > latencyMaxAge {
		return 0
	}
	return s.latency
}

// AnsweredSince reports whether the upstream has answered a request after t.
func (s *State) AnsweredSince(t time.Time) bool { return s.lastAnswer.After(t) }

// Concurrency returns the recent mean number of requests in progress: the total
// duration of requests per elapsed time.
func (s *State) Concurrency(now time.Time) float64 {
	return float64(s.busyAt(now)) * math.Ln2 / float64(busyHalfLife)
}

func (s *State) busyAt(now time.Time) time.Duration {
	if s.busy == 0 {
		return 0
	}
	return time.Duration(float64(s.busy) * math.Exp2(-float64(now.Sub(s.lastAnswer))/float64(busyHalfLife)))
}
