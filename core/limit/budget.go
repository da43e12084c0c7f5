package limit

import "time"

const (
	// retryShare is the number of retries that a success pays for.
	retryShare = 0.1
	// retryFloor is the number of retries a second without any success, so
	// that a service with little traffic can recover. 1,000 balancers add 100 a
	// second for a service, 0.2% of 56,000 new flows.
	retryFloor = 0.1
	// retryBurst bounds the retries that saved successes pay for.
	retryBurst = 10
)

// RetryBudget bounds the retries of one service to a tenth of its successes and a
// small floor. It is immutable; the zero value allows one retry.
type RetryBudget struct {
	level float64
	at    time.Time
}

// WithSuccess returns a copy that has seen a success of a first attempt.
func (b RetryBudget) WithSuccess(now time.Time) RetryBudget {
	b = b.filled(now)
	b.level = min(retryBurst, b.level+retryShare)
	return b
}

// WithRetry returns a copy that has paid for a retry.
func (b RetryBudget) WithRetry(now time.Time) RetryBudget {
	b = b.filled(now)
	b.level--
	return b
}

// slack absorbs the rounding error of ten successes that pay for one retry.
const slack = 1e-9

// Allows reports whether a retry is within the budget.
func (b RetryBudget) Allows(now time.Time) bool { return b.filled(now).level >= 1-slack }

func (b RetryBudget) filled(now time.Time) RetryBudget {
	switch {
	case b.at.IsZero():
		b.level, b.at = 1, now
	case now.After(b.at):
		b.level = min(retryBurst, b.level+retryFloor*now.Sub(b.at).Seconds())
		b.at = now
	}
	return b
}
