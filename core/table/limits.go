package table

import (
	"egretdock/core/limit"
	"egretdock/core/locks"
)

// Limits holds the use of this balancer's share of the customers' limits and
// the retry budgets of services. The zero value is empty.
type Limits struct {
	mu        locks.Mutex
	customers map[uint32]limit.CustomerShare
	budgets   map[string]limit.RetryBudget
}

// UpdateCustomer replaces the limit state of the customer with the given
// Binding.ID.
func (l *Limits) UpdateCustomer(h *locks.Holder, id uint32, fn func(limit.CustomerShare) limit.CustomerShare) {
	l.mu.Lock(h, locks.RankLimits)
	defer l.mu.Unlock(h, locks.RankLimits)
	if l.customers == nil {
		l.customers = make(map[uint32]limit.CustomerShare)
	}
	l.customers[id] = fn(l.customers[id])
}

// UpdateBudget replaces the retry budget of a service.
func (l *Limits) UpdateBudget(h *locks.Holder, service string, fn func(limit.RetryBudget) limit.RetryBudget) {
	l.mu.Lock(h, locks.RankLimits)
	defer l.mu.Unlock(h, locks.RankLimits)
	if l.budgets == nil {
		l.budgets = make(map[string]limit.RetryBudget)
	}
	l.budgets[service] = fn(l.budgets[service])
}
