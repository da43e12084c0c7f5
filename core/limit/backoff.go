// Package limit bounds what customers use of the fleet and how much of the
// traffic may be retries. Its values are immutable.
package limit

import (
	"math/rand/v2"
	"time"
)

// Jitter returns a random duration from half of d up to one and a half times
// d, so that clients that were refused together do not return together.
func Jitter(d time.Duration, rnd *rand.Rand) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(rnd.Int64N(int64(d)))
}

// Backoff returns the delay before a retry: a random duration up to first,
// doubled for each earlier retry, and at most most. retry counts from 1.
func Backoff(retry int, first, most time.Duration, rnd *rand.Rand) time.Duration {
	d := first
	for i := 1; i < retry && d < most; i++ {
		d *= 2
	}
	d = min(d, most)
	if d <= 0 {
		return 0
	}
	return time.Duration(rnd.Int64N(int64(d)) + 1)
}
