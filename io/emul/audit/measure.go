package audit

import (
	"time"

	"egretdock/core/model"
)

// FlowsBroken counts the established feeds and uploads that were lost for any
// reason.
func FlowsBroken(h *History) int {
	n := 0
	for _, f := range h.Flows {
		if !f.Broken.IsZero() {
			n++
		}
	}
	return n
}

// FlowsBrokenByChange counts those that no failure excuses.
func FlowsBrokenByChange(h *History) int {
	n := 0
	for _, f := range h.Flows {
		if !f.Broken.IsZero() && !excused(h, f) {
			n++
		}
	}
	return n
}

// RanTwice counts the calls that are not idempotent and ran more than once.
func RanTwice(h *History) int {
	n := 0
	runs := byPayload(h.Runs)
	for _, c := range h.Calls {
		if !c.Idempotent && len(runs[c.Payload]) > 1 {
			n++
		}
	}
	return n
}

// FalseNotRun counts the calls that were refused although they ran.
func FalseNotRun(h *History) int {
	n := 0
	runs := byPayload(h.Runs)
	for _, c := range h.Calls {
		if _, ok := c.Outcome.(NotRun); ok && len(runs[c.Payload]) > 0 {
			n++
		}
	}
	return n
}

// WrongAnswers counts the answers that are not the whole one of their call.
func WrongAnswers(h *History) int {
	n := 0
	for _, c := range h.Calls {
		if a, ok := c.Outcome.(Answered); ok && !a.Whole {
			n++
		}
	}
	return n
}

// Goodput returns the useful results per second of a class in a time: whole
// answers, or pushed messages for a feed. customer may be empty for all.
func Goodput(h *History, class, customer string, from, to time.Time) float64 {
	n := 0
	for _, c := range h.Calls {
		a, ok := c.Outcome.(Answered)
		if ok && a.Whole && matches(c.Class, class, c.Customer, customer) && within(c.Ended, from, to) {
			n++
		}
	}
	for _, p := range h.Pushes {
		if matches(p.Class, class, p.Customer, customer) && within(p.At, from, to) {
			n += p.Count
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

func matches(class, wantClass, customer, wantCustomer string) bool {
	return class == wantClass && (wantCustomer == "" || customer == wantCustomer)
}

func within(at, from, to time.Time) bool { return !at.Before(from) && at.Before(to) }

// KeptShare returns the goodput of each class in the flood over that in the
// steady part of the same run, or nil when the run has no flood.
func KeptShare(h *History, classes []string) map[string]float64 {
	steady, flood := phase(h, PhaseSteady), phase(h, PhaseFlood)
	if steady == nil || flood == nil {
		return nil
	}
	out := make(map[string]float64)
	for _, c := range classes {
		if base := Goodput(h, c, "", steady.From, steady.To); base > 0 {
			out[c] = Goodput(h, c, "", flood.From, flood.To) / base
		}
	}
	return out
}

// OfferedShare returns the offered calls per second of each class in the flood
// over those in the steady part, or nil when the run has no flood.
func OfferedShare(h *History, classes []string) map[string]float64 {
	steady, flood := phase(h, PhaseSteady), phase(h, PhaseFlood)
	if steady == nil || flood == nil {
		return nil
	}
	out := make(map[string]float64)
	for _, c := range classes {
		if base := offered(h, c, steady); base > 0 {
			out[c] = offered(h, c, flood) / base
		}
	}
	return out
}

func offered(h *History, class string, p *Phase) float64 {
	n := 0
	for _, c := range h.Calls {
		if c.Class == class && within(c.Due, p.From, p.To) {
			n++
		}
	}
	return float64(n) / p.To.Sub(p.From).Seconds()
}

// ServingUpstreams counts the upstreams of a service that are not draining at a time.
func ServingUpstreams(h *History, service string, at time.Time) int {
	n := 0
	for _, s := range h.Upstreams {
		if s == service {
			n++
		}
	}
	for _, d := range faults[Drained](h) {
		if h.Upstreams[d.Upstream] == service && !d.At.After(at) && (d.Until.IsZero() || d.Until.After(at)) {
			n--
		}
	}
	return n
}

// phase returns the first phase of a name, or nil.
func phase(h *History, name PhaseName) *Phase {
	for i := range h.Phases {
		if h.Phases[i].Name == name {
			return &h.Phases[i]
		}
	}
	return nil
}

// JainIndex returns the fairness index of a class between customers that ask for
// the same: 1 when all get the same, 1/n when one gets all. It is taken over
// the flood when there is one, else over the whole run.
func JainIndex(h *History, class string, customers []string) float64 {
	from, to := h.Start, h.End
	if p := phase(h, PhaseFlood); p != nil {
		from, to = p.From, p.To
	}
	var sum, squares float64
	for _, c := range customers {
		x := Goodput(h, class, c, from, to)
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(customers)) * squares)
}

// DrainLastNewWork returns the longest time after which a draining upstream
// still took new work. It reports false when the run drained none.
func DrainLastNewWork(h *History) (time.Duration, bool) {
	ds := faults[Drained](h)
	var worst time.Duration
	for _, d := range ds {
		worst = max(worst, d.LastWork.Sub(d.At))
	}
	return worst, len(ds) > 0
}

// FlowsOpened counts all flows that upstreams accepted for the clients' calls and
// feeds.
func FlowsOpened(h *History) int {
	n := 0
	for _, c := range h.Calls {
		if _, refused := c.Outcome.(NotRun); !refused && !longLived(c.Kind) {
			n++
		}
	}
	return n + len(h.Flows)
}

// UnknownOutcomes counts the calls of a kind whose client does not know what
// became of them.
func UnknownOutcomes(h *History, kind model.ClassKind) int {
	n := 0
	for _, c := range h.Calls {
		if _, ok := c.Outcome.(Unknown); ok && c.Kind == kind {
			n++
		}
	}
	return n
}
