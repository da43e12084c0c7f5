package limit

import "time"

// burstTime is the time for which unused units accumulate.
const burstTime = time.Second

// Bucket is a token bucket. It is immutable; the zero value allows everything.
type Bucket struct {
	// rate is in units per second; 0 means no limit.
	rate float64
	// level is the number of available units at time at.
	level float64
	at    time.Time
}

// WithRate returns a copy with another rate; 0 means no limit. A bucket that had
// no limit starts full.
func (b Bucket) WithRate(now time.Time, rate float64) Bucket {
	if b.rate <= 0 {
		return Bucket{rate: rate, level: Bucket{rate: rate}.capacity(), at: now}
	}
	b = b.refilled(now)
	b.rate = rate
	b.level = min(b.level, b.capacity())
	return b
}

// WithUse returns a copy from which n units are taken. The level may become
// negative: after a use larger than the bucket, the next one waits until the
// deficit is refilled.
func (b Bucket) WithUse(now time.Time, n float64) Bucket {
	if b.rate <= 0 {
		return b
	}
	b = b.refilled(now)
	b.level -= n
	return b
}

// Allows reports whether n units may be used now.
func (b Bucket) Allows(now time.Time, n float64) bool { return b.Wait(now, n) == 0 }

// Wait returns the time until n units may be used.
func (b Bucket) Wait(now time.Time, n float64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	missing := min(n, b.capacity()) - b.refilled(now).level
	if missing <= 0 {
		return 0
	}
	return max(1, time.Duration(missing/b.rate*float64(time.Second)))
}

// capacity is at least one unit, so that a low rate still allows single units.
func (b Bucket) capacity() float64 { return max(1, b.rate*burstTime.Seconds()) }

func (b Bucket) refilled(now time.Time) Bucket {
	if now.After(b.at) {
		b.level = min(b.capacity(), b.level+b.rate*now.Sub(b.at).Seconds())
		b.at = now
	}
	return b
}
