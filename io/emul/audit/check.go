package audit

import (
	"fmt"
	"slices"
	"time"

	"egretdock/core/model"
	"egretdock/io/emul/upstr"
)

// Bounds from the requirements.
const (
	// DrainBound is the time from the start of a drain after which the upstream
	// gets no new work.
	DrainBound = 3 * time.Second
	// EditBound is the time within which an edit is in force at every balancer
	// that it can reach.
	EditBound = 19 * time.Second
)

// Verdict is the result of checking one invariant.
//
//sumtype:decl
type Verdict interface {
	verdict()
	String() string
}

// Pass means that the invariant was exercised and held.
type Pass struct{}

// Fail means that the run broke the invariant.
type Fail struct {
	// Findings describe the violations, one line each.
	Findings []string
}

// NotExercised means that nothing in the run could have broken the invariant.
type NotExercised struct{}

func (Pass) verdict()         {}
func (Fail) verdict()         {}
func (NotExercised) verdict() {}

func (Pass) String() string         { return "pass" }
func (f Fail) String() string       { return "fail" }
func (NotExercised) String() string { return "not_exercised" }

// Invariant is one invariant with its verdict.
type Invariant struct {
	ID      string
	Verdict Verdict
}

// Check returns the verdict on every invariant.
func Check(h *History) []Invariant {
	return []Invariant{
		{"flow_survives", FlowSurvives(h)},
		{"no_misroute", NoMisroute(h)},
		{"whole_answer", WholeAnswer(h)},
		{"not_run_true", NotRunTrue(h)},
		{"at_most_once", AtMostOnce(h)},
		{"drain_stops", DrainStops(h)},
		{"graceful_exit", GracefulExit(h)},
		{"edit_sticks", EditSticks(h)},
	}
}

func verdict(exercised bool, findings []string) Verdict {
	switch {
	case len(findings) > 0:
		return Fail{Findings: findings}
	case exercised:
		return Pass{}
	default:
		return NotExercised{}
	}
}

// FlowSurvives checks that no established feed or upload is lost, except by a
// restart of the upstream that held it or by a partition.
func FlowSurvives(h *History) Verdict {
	var findings []string
	for _, f := range h.Flows {
		if !f.Broken.IsZero() && !unavoidable(h, f) {
			findings = append(findings, fmt.Sprintf("%s flow %x of %s broken after %s: %s", f.Class, f.ID, f.Customer, f.Broken.Sub(f.Opened).Round(time.Millisecond), f.Reason))
		}
	}
	disrupted := h.hasPlannedChange() || len(faults[Killed](h)) > 0
	return verdict(len(h.Flows) > 0 && disrupted, findings)
}

// partitionGrace is the time after a partition in which a client may still lose
// a flow. Clients retransmit every 500 ms with a jitter of 25 %, so the first
// packet after the partition may come that late.
const partitionGrace = time.Second

// unavoidable reports whether a flow was lost by a partition or by a restart of
// its upstream, which no balancer can prevent.
func unavoidable(h *History, f Flow) bool {
	for _, c := range faults[Cut](h) {
		if !f.Broken.Before(c.At) && (c.Healed.IsZero() || f.Broken.Before(c.Healed.Add(partitionGrace))) {
			return true
		}
	}
	for _, r := range faults[Restarted](h) {
		if r.At.After(f.Broken) {
			continue
		}
		held := func(a upstr.Accept) bool {
			return a.Flow == f.ID && a.Address == f.Address && a.Upstream == r.Upstream && !a.At.After(r.At)
		}
		if slices.ContainsFunc(h.Accepts, held) {
			return true
		}
	}
	return false
}

// NoMisroute checks that no packet reached an upstream of another service, and
// that no call ran for another address than the one that it was sent to.
func NoMisroute(h *History) Verdict {
	var findings []string
	if h.Misrouted > 0 {
		findings = append(findings, fmt.Sprintf("%d packets reached an upstream of another service", h.Misrouted))
	}
	runs := byPayload(h.Runs)
	for _, c := range h.Calls {
		for _, r := range runs[c.Payload] {
			if r.Address != c.Address {
				findings = append(findings, fmt.Sprintf("%s was sent to %s and ran for %s", c.Payload, c.Address, r.Address))
			}
		}
	}
	return verdict(len(h.Runs) > 0, findings)
}

// WholeAnswer checks that every answer is the whole answer to its own call.
func WholeAnswer(h *History) Verdict {
	var findings []string
	exercised := false
	for _, c := range h.Calls {
		a, ok := c.Outcome.(Answered)
		exercised = exercised || ok
		if ok && !a.Whole {
			findings = append(findings, c.Payload+" received an answer that is not its own")
		}
	}
	return verdict(exercised, findings)
}

// NotRunTrue checks that no call ran that was reported to its client as not run.
func NotRunTrue(h *History) Verdict {
	runs := byPayload(h.Runs)
	var findings []string
	exercised := false
	for _, c := range h.Calls {
		n, ok := c.Outcome.(NotRun)
		exercised = exercised || ok
		if rs := runs[c.Payload]; ok && len(rs) > 0 {
			findings = append(findings, fmt.Sprintf("%s was refused (%s) and ran at %s", c.Payload, n.Reason, rs[0].Upstream))
		}
	}
	return verdict(exercised, findings)
}

// AtMostOnce checks that no call ran twice, unless it is idempotent.
func AtMostOnce(h *History) Verdict {
	runs := byPayload(h.Runs)
	var findings []string
	exercised := false
	for _, c := range h.Calls {
		if c.Idempotent {
			continue
		}
		rs := runs[c.Payload]
		exercised = exercised || len(rs) > 0
		if len(rs) > 1 {
			findings = append(findings, fmt.Sprintf("%s ran %d times, at %s and %s", c.Payload, len(rs), rs[0].Upstream, rs[1].Upstream))
		}
	}
	return verdict(exercised, findings)
}

// DrainStops checks that a draining upstream takes no new work after DrainBound.
func DrainStops(h *History) Verdict {
	var findings []string
	exercised := false
	for _, d := range faults[Drained](h) {
		end := d.Until
		if end.IsZero() {
			end = h.End
		}
		exercised = exercised || end.Sub(d.At) > DrainBound
		if late := d.LastWork.Sub(d.At); late > DrainBound {
			findings = append(findings, fmt.Sprintf("%s took new work %s after its drain began, bound %s", d.Upstream, late.Round(time.Millisecond), DrainBound))
		}
	}
	return verdict(exercised, findings)
}

// GracefulExit checks that no call in progress during a balancer's graceful exit
// ends with an unknown outcome. It leaves out exits during which a failure could
// be the cause.
func GracefulExit(h *History) Verdict {
	var findings []string
	exercised := false
	for _, r := range faults[Retired](h) {
		if failureDuring(h, r) {
			continue
		}
		for _, c := range h.Calls {
			// Leave out calls that were not in progress at any time of the exit.
			if c.Due.After(r.Ended) || c.Ended.Before(r.At) {
				continue
			}
			exercised = true
			if u, ok := c.Outcome.(Unknown); ok {
				findings = append(findings, fmt.Sprintf("%s has no outcome (%s) after the exit of %s", c.Payload, u.Cause, r.Balancer))
			}
		}
	}
	return verdict(exercised, findings)
}

// failureDuring reports whether a failure other than the exit itself could have
// interrupted a call that was in progress during the exit.
func failureDuring(h *History, r Retired) bool {
	for _, f := range h.Faults {
		switch f := f.(type) {
		case Killed:
			if f.At.After(r.At.Add(-maxCallTime)) && f.At.Before(r.Ended) {
				return true
			}
		case Restarted:
			if f.At.After(r.At.Add(-maxCallTime)) && f.At.Before(r.Ended) {
				return true
			}
		case Cut:
			if f.At.Before(r.Ended) && (f.Healed.IsZero() || f.Healed.After(r.At.Add(-maxCallTime))) {
				return true
			}
		case Drained, Retired, Impaired:
		}
	}
	return false
}

// maxCallTime is the longest timeout of the examples. A call that a failure
// interrupted may be in progress for this long after the failure.
const maxCallTime = 5 * time.Second

// EditSticks checks that every edit is in force at every balancer within
// EditBound and that no balancer returns to an older revision.
func EditSticks(h *History) Verdict {
	var findings []string
	last := make(map[string]uint64)
	for _, f := range h.InForce {
		if f.Revision < last[f.Balancer] {
			findings = append(findings, fmt.Sprintf("%s returned from revision %d to %d", f.Balancer, last[f.Balancer], f.Revision))
		}
		last[f.Balancer] = f.Revision
	}
	for _, d := range EditDeliveries(h) {
		if d.Missing {
			findings = append(findings, fmt.Sprintf("revision %d is not in force at %s", d.Revision, d.Balancer))
		} else if d.Took > EditBound {
			findings = append(findings, fmt.Sprintf("revision %d took %s at %s, bound %s", d.Revision, d.Took, d.Balancer, EditBound))
		}
	}
	return verdict(len(h.Edits) > 0, findings)
}

func byPayload(runs []upstr.Run) map[string][]upstr.Run {
	out := make(map[string][]upstr.Run, len(runs))
	for _, r := range runs {
		out[r.Payload] = append(out[r.Payload], r)
	}
	return out
}

// longLived reports whether flows of a kind outlive a single request and must
// survive changes.
func longLived(k model.ClassKind) bool { return k != model.KindRequest }
