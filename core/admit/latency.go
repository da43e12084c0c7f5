package admit

import "time"

const (
	// smoothingSamples is the number of samples in the moving mean. With 16,
	// exponential service times made the minimum so low by chance that the
	// limit fell to 2.
	smoothingSamples = 32
	// minSamples is the number of samples before the mean counts as a minimum:
	// a probe yields no more.
	minSamples = batchSize
	// minimumWindow is the length of a window; the moving minimum covers the
	// current window and the last one. It is the interval of probes, so that
	// each window contains one.
	minimumWindow = probeInterval
)

// latencyStats holds the moving mean and the moving minimum of one class's
// latency, in seconds. It is immutable; the zero value has no samples.
type latencyStats struct {
	// mean is the moving mean, 0 before the first sample.
	mean    float64
	samples int
	// windowMin and prevWindowMin are the minimum of mean in this and the last
	// window, 0 when there is none.
	windowMin, prevWindowMin float64
	windowStart              time.Time
}

// WithSample returns a copy that includes one more latency.
func (s latencyStats) WithSample(now time.Time, d time.Duration) latencyStats {
	s.samples = min(s.samples+1, smoothingSamples)
	s.mean += (d.Seconds() - s.mean) / float64(s.samples)
	if s.samples < minSamples {
		return s
	}
	if now.Sub(s.windowStart) >= minimumWindow {
		s.prevWindowMin, s.windowMin, s.windowStart = s.windowMin, 0, now
	}
	if s.windowMin == 0 || s.mean < s.windowMin {
		s.windowMin = s.mean
	}
	return s
}

// WithRestart returns a copy whose mean starts anew with the next sample.
func (s latencyStats) WithRestart() latencyStats {
	s.samples = 0
	return s
}

// Minimum returns the moving minimum, or 0 while it is unknown.
func (s latencyStats) Minimum() float64 {
	if s.prevWindowMin == 0 {
		return s.windowMin
	}
	return min(s.windowMin, s.prevWindowMin)
}

// Ratio returns a latency over the moving minimum, or 1 while that is unknown.
func (s latencyStats) Ratio(d time.Duration) float64 {
	if m := s.Minimum(); m > 0 {
		return d.Seconds() / m
	}
	return 1
}
