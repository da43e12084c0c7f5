package limit

import (
	"time"

	"egretdock/core/model"
)

// CustomerShare is one balancer's part of a customer's limits. It is immutable; the
// zero value allows everything.
//
// Each of B live balancers takes an equal part. A customer whose traffic is
// spread unevenly may be limited early. What the fleet allows beyond a limit N
// is bounded:
//   - open flows: N + B - 1, since parts are rounded up and no customer is kept
//     out. Flows that are open when j balancers join stay open, which adds at
//     most N*j/(B+j) until they close.
//   - rates over a time T: N*(T + 1 s) + B, and one packet per balancer for
//     bytes.
//   - while balancers see different fleets, each divides by the size that it
//     sees: a fleet split into k parts allows up to k times as much.
type CustomerShare struct {
	limits    model.Limits
	balancers int
	// open counts the flows that this balancer let in.
	open         int
	opens, bytes Bucket
}

// WithLimits returns a copy with other limits or another number of live
// balancers. Flows that are open stay open.
func (c CustomerShare) WithLimits(now time.Time, l model.Limits, balancers int) CustomerShare {
	balancers = max(balancers, 1)
	if l == c.limits && balancers == c.balancers {
		return c
	}
	c.limits, c.balancers = l, balancers
	c.opens = c.opens.WithRate(now, l.NewFlowsPerSecond/float64(balancers))
	c.bytes = c.bytes.WithRate(now, l.BytesPerSecond/float64(balancers))
	return c
}

// WithOpen returns a copy with one more flow.
func (c CustomerShare) WithOpen(now time.Time) CustomerShare {
	c.open++
	c.opens = c.opens.WithUse(now, 1)
	return c
}

// WithClosed returns a copy with one flow less.
func (c CustomerShare) WithClosed() CustomerShare {
	c.open = max(c.open-1, 0)
	return c
}

// WithBytes returns a copy that let n bytes of a client's payload pass.
func (c CustomerShare) WithBytes(now time.Time, n int) CustomerShare {
	c.bytes = c.bytes.WithUse(now, float64(n))
	return c
}

// AllowsOpen reports whether a new flow is within the limits.
func (c CustomerShare) AllowsOpen(now time.Time) bool {
	return c.hasPlace() && c.opens.Allows(now, 1)
}

// AllowsBytes reports whether n bytes are within the limit.
func (c CustomerShare) AllowsBytes(now time.Time, n int) bool { return c.bytes.Allows(now, float64(n)) }

// OpenAfter returns the time until the rate allows a new flow. It does not tell
// when an open flow will close.
func (c CustomerShare) OpenAfter(now time.Time) time.Duration { return c.opens.Wait(now, 1) }

// Open returns the number of open flows.
func (c CustomerShare) Open() int { return c.open }

func (c CustomerShare) hasPlace() bool {
	n := c.limits.OpenFlows
	return n <= 0 || c.open < (n+c.balancers-1)/c.balancers
}
