package audit

import (
	"math"
	"time"
)

// ImbalanceWindow is the length of the windows over which imbalance is measured.
const ImbalanceWindow = 10 * time.Second

// Imbalance is the spread of work over the upstreams of one service in the
// worst window.
type Imbalance struct {
	// MaxOverMean is the highest rate of an upstream divided by the mean rate.
	MaxOverMean float64
	// Variation is the coefficient of variation of the rates.
	Variation float64
	// Window is the length of the window: ImbalanceWindow, or less in a shorter
	// run; zero when nothing could be measured.
	Window time.Duration
}

// ImbalanceOf returns the highest imbalance of the runs of a service in a
// sliding window that moves by one second through the given time. The rate of an
// upstream is its runs per second in the part of the window in which it was not
// draining, in slow start after a restart, or impaired. Upstreams for which this
// part is less than half of the window are left out.
func ImbalanceOf(h *History, service string, from, to time.Time) Imbalance {
	length := min(ImbalanceWindow, to.Sub(from))
	var worst Imbalance
	for at := from; length > 0 && !at.Add(length).After(to); at = at.Add(time.Second) {
		mean, stdDev, highest := moments(rates(h, service, at, at.Add(length)))
		if mean <= 0 {
			continue
		}
		if m := highest / mean; m > worst.MaxOverMean {
			worst = Imbalance{MaxOverMean: m, Variation: stdDev / mean, Window: length}
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
		if p := undisturbedPart(h, name, from, to); p.To.Sub(p.From) >= to.Sub(from)/2 {
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

// undisturbedPart returns the part of a window, at its start or at its end, in
// which no fault kept an upstream from its share of the work. Of two such parts
// it chooses the longer.
func undisturbedPart(h *History, upstream string, from, to time.Time) Phase {
	p := Phase{From: from, To: to}
	for _, f := range h.Faults {
		name, at, until := impairment(f)
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

// impairment returns the upstream that a fault affects, if any, and the time for
// which the upstream takes less than its share of the work.
func impairment(f Fault) (upstream string, at, until time.Time) {
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

// slowStart is the time after a restart in which an upstream deliberately gets
// less work.
const slowStart = 5 * time.Second

// moments returns the mean, the standard deviation and the maximum.
func moments(values map[string]float64) (mean, stdDev, highest float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	for _, v := range values {
		mean += v / float64(len(values))
		highest = max(highest, v)
	}
	for _, v := range values {
		stdDev += (v - mean) * (v - mean) / float64(len(values))
	}
	return mean, math.Sqrt(stdDev), highest
}
