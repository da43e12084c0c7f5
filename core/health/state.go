package health

import (
	"slices"
	"time"
)

const (
	// failLimit is the number of failures in a row that ejects. A single lost
	// packet must not.
	failLimit = 5
	// shedLimit is the number of sheds in a row that ejects. Sheds come in
	// bursts before the concurrency limit has followed.
	shedLimit = 20
	// reportLimit is the number of bad reports in a row that ejects.
	reportLimit = 2
	// trafficTime is how long a success of passing traffic outweighs reports.
	trafficTime = 5 * time.Second
	// ejectFirst and ejectMost bound the time of an ejection, which doubles
	// each time in a row. Afterwards traffic tries the upstream again, since
	// without traffic a lying report could never be refuted.
	ejectFirst, ejectMost = 5 * time.Second, time.Minute
	// drainGrace is the time that established flows keep after draining began.
	drainGrace = 3 * time.Second
	// lateTime is how long packets of an incarnation may arrive after it was
	// replaced.
	lateTime = 2 * time.Second
	// doubtFirst and doubtMost bound the time for which new flows avoid an
	// upstream after a failure of passing traffic; it doubles with each failure
	// in a row. One lost packet costs doubtFirst at one balancer.
	doubtFirst, doubtMost = time.Second, 8 * time.Second
	// failureHalf keeps the failures of an upstream that goes down and up every
	// few seconds in mind, and forgets a single one within some ten seconds.
	failureHalf = 5 * time.Second
	// tellTime is how long a failure at one balancer may confirm that at another:
	// balancers tell each other four times a second, and one of 35 sends a request
	// to each of 30 instances every two or three seconds.
	tellTime = 3 * time.Second
	// relapse is the number of failures of late from which a success does not end
	// the doubt; one lost packet must not reach it.
	relapse = 1.5
	// latencyWeight is the weight of the newest answer in the mean latency: the
	// last ten answers make up nine tenths of it.
	latencyWeight = 0.2
	// latencyTime is how long the mean latency counts after the last answer.
	latencyTime = 3 * time.Second
	// takenHalf is long enough for some ten requests of one of a data centre's
	// balancers, and short enough to follow a burst.
	takenHalf = 1500 * time.Millisecond
	// formerKept is the number of replaced incarnations whose lagging reports
	// are recognized.
	formerKept = 4
)

// State is what is known of one upstream. It is immutable; the zero value knows
// nothing and is eligible.
type State struct {
	// incarnation is 0 before it is known.
	incarnation uint64
	// former are the incarnations before, latest first; never modified in place.
	former []uint64
	// replaced is the time at which the incarnation replaced another, or zero.
	replaced time.Time
	slots    int
	// draining is the time at which draining began, or zero.
	draining time.Time
	// leaving is what the host list said last, for whichever incarnation.
	leaving bool
	// success is the time of the last success of passing traffic.
	success time.Time
	// opens, requests, sheds and reports count bad signals in a row.
	opens, requests, sheds, reports int
	// failed is the time of the last failure of passing traffic.
	failed time.Time
	// failures is the number of late, those that others told and somebody
	// confirmed included, brought up to date at counted; its weight halves per
	// failureHalf and no success resets it.
	failures float64
	counted  time.Time
	// teller is the balancer that last told of a failure, and told when.
	teller uint64
	told   time.Time
	// confirmed is when two balancers last agreed on a failure.
	confirmed time.Time
	// latency is the mean time of recent answers, and answered when the last of
	// them came.
	latency  time.Duration
	answered time.Time
	// taken is the time that requests of late have taken, brought up to date at
	// answered; its weight halves per takenHalf.
	taken time.Duration
	// ejected and until are the start and end of the last ejection in a row of
	// ejections without a success between them.
	ejected, until time.Time
	ejections      int
	// reported is true when only reports caused the ejection.
	reported bool
}

// With returns a copy that has seen a signal.
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
		return s.withTold(now, sig)
	case Failed:
		// A failure never proves an incarnation, but counts while none is known.
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
			// It began before this balancer knew the upstream, perhaps under
			// another owner, whose grace must not start again.
			s.draining = now.Add(-drainGrace)
		}
	}
	if r.Healthy {
		s.reports = 0
		if s.reported {
			s = s.withoutEjection()
		}
		return s
	}
	s.reports++
	if s.reports >= reportLimit && now.Sub(s.success) > trafficTime {
		s = s.withEjection(now, true)
	}
	return s
}

// withHostList lets draining begin when the list says for the first time that
// the host leaves. An entry that lags behind a restart changes nothing.
func (s State) withHostList(now time.Time, l HostList) State {
	if l.Leaving && !s.leaving {
		s = s.withDraining(now)
	}
	s.leaving = l.Leaving
	return s
}

// withTraffic returns the state of the incarnation that a packet proves, and
// false for packets that arrive late from a former one.
func (s State) withTraffic(now time.Time, incarnation uint64) (State, bool) {
	if slices.Contains(s.former, incarnation) && now.Sub(s.replaced) < lateTime {
		return s, false
	}
	return s.withIncarnation(now, incarnation), true
}

// withIncarnation forgets everything when the incarnation changes.
func (s State) withIncarnation(now time.Time, incarnation uint64) State {
	switch {
	case incarnation == 0 || incarnation == s.incarnation:
		return s
	case s.incarnation == 0:
		s.incarnation = incarnation
		return s
	}
	former := make([]uint64, 0, formerKept+1)
	former = append(former, s.incarnation)
	for _, f := range s.former {
		if f != incarnation {
			former = append(former, f)
		}
	}
	return State{
		incarnation: incarnation,
		former:      former[:min(len(former), formerKept)],
		replaced:    now,
		leaving:     s.leaving,
	}
}

// withAccept counts as success only while requests do not fail: an upstream may
// accept flows and answer nothing.
func (s State) withAccept(now time.Time) State {
	s.opens = 0
	if s.requests == 0 && s.sheds == 0 {
		return s.withSuccess(now)
	}
	return s
}

func (s State) withAnswer(now time.Time) State {
	s.opens, s.requests, s.sheds = 0, 0, 0
	return s.withSuccess(now)
}

func (s State) withLatency(now time.Time, took time.Duration) State {
	if took <= 0 {
		return s
	}
	if now.Sub(s.answered) > latencyTime {
		s.latency = took
	} else {
		s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	}
	s.taken = s.takenAt(now) + took
	s.answered = now
	return s
}

func (s State) withSuccess(now time.Time) State {
	s.success = now
	s.reports = 0
	return s.withoutEjection()
}

func (s State) withRefusal(now time.Time, r Refused) State {
	if r.Draining {
		return s.withDraining(now)
	}
	s.sheds++
	if s.sheds >= shedLimit {
		s = s.withEjection(now, false)
	}
	return s
}

func (s State) withDraining(now time.Time) State {
	if s.draining.IsZero() {
		s.draining = now
	}
	return s
}
