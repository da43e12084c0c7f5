package limit

import "time"

const (
	// retriesPerSuccess is the number of retries that a success adds.
	retriesPerSuccess = 0.1
	// retriesPerSecond is the number of retries per second without any success,
	// so that a service with little traffic can recover. 1,000 balancers add 100
	// retries per second for a service, 0.2% of 56,000 new flows.
	retriesPerSecond = 0.1
	// maxSavedRetries bounds the retries that accumulate.
	maxSavedRetries = 10
)

// RetryBudget bounds the retries of one service to a tenth of its successes and a
// small floor. It is immutable; the zero value allows one retry.
type RetryBudget struct {
	// level is the number of available retries at time at.
	level float64
	at    time.Time
}

// WithSuccess returns a copy that counts a success of a first attempt.
func (b RetryBudget) WithSuccess(now time.Time) RetryBudget {
	b = b.refilled(now)
	b.level = min(maxSavedRetries, b.level+retriesPerSuccess)
	return b
}

// WithRetry returns a copy from which one retry is taken.
func (b RetryBudget) WithRetry(now time.Time) RetryBudget {
	b = b.refilled(now)
	b.level--
	return b
}

// levelTolerance absorbs the rounding error of the ten successes that add up to
// one retry.
const levelTolerance = 1e-9

// Allows reports whether a retry is within the budget.
func (b RetryBudget) Allows(now time.Time) bool { return b.refilled(now).level >= 1-levelTolerance }

func (b RetryBudget) refilled(now time.Time) RetryBudget {
	switch {
	case b.at.IsZero():
		b.level, b.at = 1, now
	case now.After(b.at):
		b.level = min(maxSavedRetries, b.level+retriesPerSecond*now.Sub(b.at).Seconds())
		b.at = now
	}
	return b
}
