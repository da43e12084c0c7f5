package audit

import (
	"slices"
	"time"
)

// Delivery describes how one edit reached one balancer.
type Delivery struct {
	Revision uint64
	Balancer string
	// Took is the time until the edit was in force. It starts when the balancer
	// could first learn of the edit: at its acceptance, the balancer's start or
	// the end of a partition.
	Took time.Duration
	// Missing is true when the edit was not in force at the end of the run.
	Missing bool
}

// EditDeliveries returns the delivery of each edit to each balancer. It leaves
// out balancers that stopped, or were cut off until the end of the run, before
// the edit was in force there.
func EditDeliveries(h *History) []Delivery {
	var out []Delivery
	for _, e := range h.Edits {
		for _, l := range h.Balancers {
			if !l.To.IsZero() && l.To.Before(e.Accepted) {
				continue
			}
			since := reachableFrom(h, l, e.Accepted)
			at, ok := inForceAt(h, l.Balancer, e.Revision)
			switch {
			case ok:
				out = append(out, Delivery{Revision: e.Revision, Balancer: l.Balancer, Took: max(0, at.Sub(since))})
			case l.To.IsZero() && !cutAtEnd(h, l.DataCentre):
				out = append(out, Delivery{Revision: e.Revision, Balancer: l.Balancer, Missing: true})
			}
		}
	}
	return out
}

// reachableFrom returns when a balancer could first learn of an edit accepted at
// the given time.
func reachableFrom(h *History, l Lifetime, accepted time.Time) time.Time {
	since := accepted
	if l.From.After(since) {
		since = l.From
	}
	for _, c := range faults[Cut](h) {
		if slices.Contains(c.DataCentres, l.DataCentre) && !since.Before(c.At) && since.Before(c.Healed) {
			since = c.Healed
		}
	}
	return since
}

func cutAtEnd(h *History, dataCentre string) bool {
	for _, c := range faults[Cut](h) {
		if c.Healed.IsZero() && slices.Contains(c.DataCentres, dataCentre) {
			return true
		}
	}
	return false
}

// inForceAt returns when a balancer first put an edit, or a later one, in force.
func inForceAt(h *History, balancer string, revision uint64) (time.Time, bool) {
	for _, f := range h.InForce {
		if f.Balancer == balancer && f.Revision >= revision {
			return f.At, true
		}
	}
	return time.Time{}, false
}
