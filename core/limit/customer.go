package limit

import (
	"time"

	"egretdock/core/model"
)

// CustomerShare is one balancer's share of a customer's limits. It is immutable;
// the zero value allows everything.
//
// Each of B live balancers has an equal share. A customer whose traffic is
// spread unevenly may be limited early. For a limit N, the fleet as a whole
// stays within these bounds:
//   - open flows: N + B - 1, since shares are rounded up so that every balancer
//     admits at least one flow. Flows that are open when j balancers join stay
//     open, which adds at most N*j/(B+j) until they close.
//   - rates over a time T: N*(T + 1 s) + B, and one packet per balancer for
//     bytes.
//   - while balancers see different fleets, each divides by the size that it
//     sees: a fleet split into k partitions allows up to k times as much.
type CustomerShare struct {
	limits    model.Limits
	balancers int
	// open counts the open flows that this balancer admitted.
	open int
	// openRate and byteRate limit new flows and payload bytes.
	openRate, byteRate Bucket
}

// WithLimits returns a copy with other limits or another number of live
// balancers. Open flows stay open.
func (c CustomerShare) WithLimits(now time.Time, l model.Limits, balancers int) CustomerShare {
	balancers = max(balancers, 1)
	if l == c.limits && balancers == c.balancers {
		return c
	}
	c.limits, c.balancers = l, balancers
	c.openRate = c.openRate.WithRate(now, l.NewFlowsPerSecond/float64(balancers))
	c.byteRate = c.byteRate.WithRate(now, l.BytesPerSecond/float64(balancers))
	return c
}

// WithOpen returns a copy with one more open flow.
func (c CustomerShare) WithOpen(now time.Time) CustomerShare {
	c.open++
	c.openRate = c.openRate.WithUse(now, 1)
	return c
}

// WithClosed returns a copy with one open flow less.
func (c CustomerShare) WithClosed() CustomerShare {
	c.open = max(c.open-1, 0)
	return c
}

// WithBytes returns a copy from which n payload bytes of a client are taken.
func (c CustomerShare) WithBytes(now time.Time, n int) CustomerShare {
	c.byteRate = c.byteRate.WithUse(now, float64(n))
	return c
}

// AllowsOpen reports whether a new flow is within the limits.
func (c CustomerShare) AllowsOpen(now time.Time) bool {
	return c.belowOpenLimit() && c.openRate.Allows(now, 1)
}

// AllowsBytes reports whether n bytes are within the limit.
func (c CustomerShare) AllowsBytes(now time.Time, n int) bool {
	return c.byteRate.Allows(now, float64(n))
}

// OpenAfter returns the time until the rate allows a new flow. It ignores the
// limit on open flows, since it is unknown when one closes.
func (c CustomerShare) OpenAfter(now time.Time) time.Duration { return c.openRate.Wait(now, 1) }

// Open returns the number of open flows.
func (c CustomerShare) Open() int { return c.open }

func (c CustomerShare) belowOpenLimit() bool {
	n := c.limits.OpenFlows
	return n <= 0 || c.open < (n+c.balancers-1)/c.balancers
}
