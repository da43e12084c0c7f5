package health

import (
	"math"
	"time"
)

// Incarnation returns the incarnation, or 0 when it is unknown.
func (s State) Incarnation() uint64 { return s.incarnation }

// Replaced returns the time at which this incarnation replaced another. It
// reports false for one that was found running, which needs no slow start.
func (s State) Replaced() (time.Time, bool) { return s.replaced, !s.replaced.IsZero() }

// Slots returns the number of slots reported, or 0.
func (s State) Slots() int { return s.slots }

// Draining reports whether this incarnation drains; it never stops to.
func (s State) Draining() bool { return !s.draining.IsZero() }

// DrainingFor returns the time since draining began, or 0.
func (s State) DrainingFor(now time.Time) time.Duration {
	if !s.Draining() {
		return 0
	}
	return now.Sub(s.draining)
}

// RefusesRequests reports whether new requests on established flows must be
// refused because the upstream drains.
func (s State) RefusesRequests(now time.Time) bool {
	return s.Draining() && s.DrainingFor(now) >= drainGrace
}

// Ejected reports whether the upstream is out of use on health alone.
func (s State) Ejected(now time.Time) bool { return now.Before(s.until) }

// InBackoff reports whether new flows avoid the upstream because its last
// traffic is unanswered, or because it failed repeatedly of late.
func (s *State) InBackoff(now time.Time) bool {
	n := s.opens + s.requests
	if s.failures >= relapse {
		n = max(n, int(math.Round(s.failures)))
	}
	return n > 0 && now.Sub(s.failed) < doubtTime(n)
}

// InSharedBackoff reports whether new flows avoid the upstream because several balancers
// have seen it fail.
func (s *State) InSharedBackoff(now time.Time) bool {
	return !s.confirmed.IsZero() && now.Sub(s.confirmed) < doubtTime(max(1, int(math.Round(s.failures))))
}

func doubtTime(failures int) time.Duration {
	return min(doubtFirst<<min(failures-1, 8), doubtMost)
}

// Recovering reports whether the upstream failed of late, so that new flows
// come back to it slowly.
func (s *State) Recovering(now time.Time) bool { return s.failuresAt(now) >= recovered }

// recovered is the number of failures of late below which an upstream counts as
// well again: a single failure is forgotten after 5 s.
const recovered = 0.5

func (s *State) failuresAt(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now.Sub(s.counted))/float64(failureHalf))
}

// Latency returns the mean time of recent answers, or 0 when there were none.
func (s *State) Latency(now time.Time) time.Duration {
	if now.Sub(s.answered) > latencyTime {
		return 0
	}
	return s.latency
}

// AnsweredSince reports whether the upstream has answered a request after t.
func (s *State) AnsweredSince(t time.Time) bool { return s.answered.After(t) }

// Concurrency returns the mean number of requests in progress of late: time
// taken per time passed.
func (s *State) Concurrency(now time.Time) float64 {
	return float64(s.takenAt(now)) * math.Ln2 / float64(takenHalf)
}

func (s *State) takenAt(now time.Time) time.Duration {
	if s.taken == 0 {
		return 0
	}
	return time.Duration(float64(s.taken) * math.Exp2(-float64(now.Sub(s.answered))/float64(takenHalf)))
}

// Eligible reports whether the upstream may get new flows, when the other
// upstreams of its service can take its part.
func (s State) Eligible(now time.Time) bool { return !s.Draining() && !s.Ejected(now) }

// EligibleIn reports whether the i-th upstream of a service may get new flows.
// At most a third of those that don't drain are ejected, the earliest first:
// when more look ill, the fault is likely in the observer or the load.
func EligibleIn(now time.Time, i int, service []State) bool {
	s := &service[i]
	if s.Draining() || !s.Ejected(now) {
		return !s.Draining()
	}
	members, earlier := 0, 0
	for j := range service {
		o := &service[j]
		if o.Draining() {
			continue
		}
		members++
		if o.Ejected(now) && (o.ejected.Before(s.ejected) || o.ejected.Equal(s.ejected) && j < i) {
			earlier++
		}
	}
	return earlier >= members/3
}
