package admit

import "time"

const (
	// smoothing is the number of samples over which means are taken. A mean
	// of fewer does not count as a minimum, since chance alone makes it low.
	smoothing = 16
	// minWindow is the time after which an old minimum is forgotten, at the
	// latest after twice as long. It is the interval of probes, so that each
	// window contains one.
	minWindow = probeEvery
)

// pace follows the latency of one class, in seconds. It is immutable; the zero
// value has seen nothing.
type pace struct {
	// mean is the moving mean, 0 before the first sample.
	mean float64
	n    int
	// low and lastLow are the minimum of mean in this and the last window, 0
	// when there is none.
	low, lastLow float64
	turned       time.Time
}

// WithSample returns a copy that has seen one latency.
func (p pace) WithSample(now time.Time, d time.Duration) pace {
	p.n = min(p.n+1, smoothing)
	p.mean += (d.Seconds() - p.mean) / float64(p.n)
	if p.n < smoothing {
		return p
	}
	if now.Sub(p.turned) >= minWindow {
		p.lastLow, p.low, p.turned = p.low, 0, now
	}
	if p.low == 0 || p.mean < p.low {
		p.low = p.mean
	}
	return p
}

// WithRestart returns a copy whose mean forgets the samples seen so far.
func (p pace) WithRestart() pace {
	p.n = 0
	return p
}

// Base returns the moving minimum, or 0 while it is unknown.
func (p pace) Base() float64 {
	if p.lastLow == 0 {
		return p.low
	}
	return min(p.low, p.lastLow)
}

// Ratio returns a latency over the moving minimum, or 1 while that is unknown.
func (p pace) Ratio(d time.Duration) float64 {
	if b := p.Base(); b > 0 {
		return d.Seconds() / b
	}
	return 1
}
