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

// FlowsBrokenByChange counts the established feeds and uploads that were lost
// although neither a partition nor a restart of their upstream caused it.
func FlowsBrokenByChange(h *History) int {
	n := 0
	for _, f := range h.Flows {
		if !f.Broken.IsZero() && !unavoidable(h, f) {
			n++
		}
	}
	return n
}

// RanTwice counts the calls that ran more than once and are not idempotent.
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

// FalseNotRun counts the calls that ran but were reported as not run.
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

// WrongAnswers counts the answers that are not the whole answer to their call.
func WrongAnswers(h *History) int {
	n := 0
	for _, c := range h.Calls {
		if a, ok := c.Outcome.(Answered); ok && !a.Whole {
			n++
		}
	}
	return n
}

// Goodput returns the useful results of a class per second between from and to:
// whole answers, or pushed messages for a feed. An empty customer stands for
// all customers.
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

// KeptShare returns the goodput of each class in the flood phase divided by that
// in the steady phase, or nil when the run has no flood.
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
// phase divided by those in the steady phase, or nil when the run has no flood.
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

// ServingUpstreams counts the upstreams of a service that are not draining at
// a time.
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

// phase returns the first phase with a name, or nil.
func phase(h *History, name PhaseName) *Phase {
	for i := range h.Phases {
		if h.Phases[i].Name == name {
			return &h.Phases[i]
		}
	}
	return nil
}

// JainIndex returns Jain's fairness index of the goodput of a class between
// customers with equal demand: 1 when all get the same, 1/n when one of n gets
// all. It covers the flood phase if there is one, else the whole run.
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

// DrainLastNewWork returns the longest time from the start of a drain to the
// last new work of its upstream, and false when the run drained no upstream.
func DrainLastNewWork(h *History) (time.Duration, bool) {
	ds := faults[Drained](h)
	var worst time.Duration
	for _, d := range ds {
		worst = max(worst, d.LastWork.Sub(d.At))
	}
	return worst, len(ds) > 0
}

// FlowsOpened counts the flows opened for calls and feeds. Calls reported as not
// run opened none.
func FlowsOpened(h *History) int {
	n := 0
	for _, c := range h.Calls {
		if _, refused := c.Outcome.(NotRun); !refused && !longLived(c.Kind) {
			n++
		}
	}
	return n + len(h.Flows)
}

// UnknownOutcomes counts the calls of a kind whose outcome the client does not
// know.
func UnknownOutcomes(h *History, kind model.ClassKind) int {
	n := 0
	for _, c := range h.Calls {
		if _, ok := c.Outcome.(Unknown); ok && c.Kind == kind {
			n++
		}
	}
	return n
}
