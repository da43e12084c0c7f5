package table

import (
	"egretdock/core/limit"
	"egretdock/core/locks"
)

// Limits holds the use of this balancer's share of the customers' limits and
// the retry budgets of services. The zero value is empty.
type Limits struct {
	mu        locks.Mutex
	customers map[uint32]limit.Customer
	budgets   map[string]limit.Budget
}

// UpdateCustomer replaces the limit state of the customer with the given
// Binding.ID.
func (l *Limits) UpdateCustomer(h *locks.Holder, id uint32, fn func(limit.Customer) limit.Customer) {
	l.mu.Lock(h, locks.RankLimits)
	defer l.mu.Unlock(h, locks.RankLimits)
	if l.customers == nil {
		l.customers = make(map[uint32]limit.Customer)
	}
	l.customers[id] = fn(l.customers[id])
}

// UpdateBudget replaces the retry budget of a service.
func (l *Limits) UpdateBudget(h *locks.Holder, service string, fn func(limit.Budget) limit.Budget) {
	l.mu.Lock(h, locks.RankLimits)
	defer l.mu.Unlock(h, locks.RankLimits)
	if l.budgets == nil {
		l.budgets = make(map[string]limit.Budget)
	}
	l.budgets[service] = fn(l.budgets[service])
}
