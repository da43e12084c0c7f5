// Package limit implements rate limits of customers, retry budgets and backoff.
// Its values are immutable.
package limit

import (
	"math/rand/v2"
	"time"
)

// Jitter returns a random duration between half of d and one and a half times d,
// so that clients that were refused together do not retry together.
func Jitter(d time.Duration, rnd *rand.Rand) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(rnd.Int64N(int64(d)))
}

// Backoff returns the delay before a retry: a random duration up to a limit that
// starts at first, doubles with each retry, and does not exceed longest. retry
// counts from 1.
func Backoff(retry int, first, longest time.Duration, rnd *rand.Rand) time.Duration {
	d := first
	for i := 1; i < retry && d < longest; i++ {
		d *= 2
	}
	d = min(d, longest)
	if d <= 0 {
		return 0
	}
	return time.Duration(rnd.Int64N(int64(d)) + 1)
}
