package audit

import (
	"math"
	"time"
)

// Window is the time over which imbalance is measured.
const Window = 10 * time.Second

// Imbalance is the spread of work over the upstreams of one service in the
// worst window.
type Imbalance struct {
	// MaxOverMean is the most loaded upstream's work over the mean.
	MaxOverMean float64
	// Variation is the coefficient of variation.
	Variation float64
	// Window is the length measured, shorter than the constant in short runs;
	// zero when nothing could be measured.
	Window time.Duration
}

// ImbalanceOf returns the worst imbalance of the runs of a service over
// windows that step by a second through the given time. An upstream counts with
// its runs per second while nothing kept it from its share, such as a drain, a
// restart or its slow start, and not at all in a window of which it served less
// than half.
func ImbalanceOf(h *History, service string, from, to time.Time) Imbalance {
	length := min(Window, to.Sub(from))
	var worst Imbalance
	for at := from; length > 0 && !at.Add(length).After(to); at = at.Add(time.Second) {
		mean, dev, top := moments(rates(h, service, at, at.Add(length)))
		if mean <= 0 {
			continue
		}
		if m := top / mean; m > worst.MaxOverMean {
			worst = Imbalance{MaxOverMean: m, Variation: dev / mean, Window: length}
		}
	}
	return worst
}

// rates returns the runs per second of each upstream of a service in a window.
func rates(h *History, service string, from, to time.Time) map[string]float64 {
	out := make(map[string]float64)
	parts := make(map[string]Phase)
	for name, s := range h.Upstreams {
		if s != service {
			continue
		}
		if p := serving(h, name, from, to); p.To.Sub(p.From) >= to.Sub(from)/2 {
			parts[name] = p
			out[name] = 0
		}
	}
	for _, r := range h.Runs {
		if p, ok := parts[r.Upstream]; ok && within(r.At, p.From, p.To) {
			out[r.Upstream] += 1 / p.To.Sub(p.From).Seconds()
		}
	}
	return out
}

// serving returns the longest part of a window, from its start or to its end,
// in which nothing kept an upstream from its share.
func serving(h *History, upstream string, from, to time.Time) Phase {
	p := Phase{From: from, To: to}
	for _, f := range h.Faults {
		name, at, until := span(f)
		if name != upstream || !at.Before(p.To) || (!until.IsZero() && !until.After(p.From)) {
			continue
		}
		if until.IsZero() || at.Sub(p.From) >= p.To.Sub(until) {
			p.To = at
		} else {
			p.From = until
		}
	}
	return p
}

// span returns the upstream that a fault concerns and the time for which it
// keeps it from its share.
func span(f Fault) (upstream string, at, until time.Time) {
	switch f := f.(type) {
	case Drained:
		return f.Upstream, f.At, f.Until
	case Restarted:
		return f.Upstream, f.At, f.At.Add(slowStart)
	case Impaired:
		return f.Upstream, f.At, f.Until
	case Killed, Retired, Cut:
	}
	return "", time.Time{}, time.Time{}
}

// slowStart is the time in which a new incarnation gets less work by design.
const slowStart = 5 * time.Second

func moments(counts map[string]float64) (mean, dev, top float64) {
	if len(counts) == 0 {
		return 0, 0, 0
	}
	for _, n := range counts {
		mean += n / float64(len(counts))
		top = max(top, n)
	}
	for _, n := range counts {
		dev += (n - mean) * (n - mean) / float64(len(counts))
	}
	return mean, math.Sqrt(dev), top
}
