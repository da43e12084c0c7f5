package cmds

import (
	"time"

	"egretdock/core/limit"
	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/table"
)

// UseOpening takes one opening from this balancer's share of the customer's
// rate. When none is left, it returns the time to wait and false.
func UseOpening(h *locks.Holder, now time.Time, s *table.Set, b *table.Binding) (time.Duration, bool) {
	if b.Params.Limits == (model.Limits{}) {
		return 0, true
	}
	var wait time.Duration
	balancers := s.Members().Len()
	s.Limits.UpdateCustomer(h, b.ID, func(c limit.CustomerShare) limit.CustomerShare {
		c = c.WithLimits(now, rates(b.Params.Limits), balancers)
		if wait = c.OpenAfter(now); wait > 0 {
			return c
		}
		return c.WithOpen(now)
	})
	return wait, wait == 0
}

// UseBytes takes the n payload bytes of a packet from this balancer's share of
// the customer's rate, and reports whether the rate allowed them.
func UseBytes(h *locks.Holder, now time.Time, s *table.Set, b *table.Binding, n int) bool {
	if b.Params.Limits.BytesPerSecond <= 0 || n == 0 {
		return true
	}
	var ok bool
	balancers := s.Members().Len()
	s.Limits.UpdateCustomer(h, b.ID, func(c limit.CustomerShare) limit.CustomerShare {
		c = c.WithLimits(now, rates(b.Params.Limits), balancers)
		if ok = c.AllowsBytes(now, n); ok {
			c = c.WithBytes(now, n)
		}
		return c
	})
	return ok
}

// rates omits the limit on open flows: the balancer that sees a flow open is
// rarely the one that sees it close.
func rates(l model.Limits) model.Limits {
	l.OpenFlows = 0
	return l
}

// CreditRetry credits the retry budget of a service with a success.
func CreditRetry(h *locks.Holder, now time.Time, s *table.Set, service string) {
	s.Limits.UpdateBudget(h, service, func(b limit.RetryBudget) limit.RetryBudget { return b.WithSuccess(now) })
}

// SpendRetry takes one retry from the budget of a service and reports whether
// the budget allowed it.
func SpendRetry(h *locks.Holder, now time.Time, s *table.Set, service string) bool {
	var ok bool
	s.Limits.UpdateBudget(h, service, func(b limit.RetryBudget) limit.RetryBudget {
		if ok = b.Allows(now); ok {
			b = b.WithRetry(now)
		}
		return b
	})
	return ok
}
