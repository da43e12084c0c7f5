package table

import "sync/atomic"

// DefaultRequestLimit is the number of requests that one balancer tracks as an
// owner: 1,000 in flight for each of 7 upstreams, twice.
const DefaultRequestLimit = 1 << 14

// Requests bounds the work that a balancer tracks for all of its upstreams. The
// count is that of the last tick, so a burst between two ticks may exceed the
// limit by what arrives in 50 ms. The zero value is empty and has the default
// limit.
type Requests struct {
	// Limit bounds the number of requests; 0 means DefaultRequestLimit. It is set
	// before first use.
	Limit int
	n     atomic.Int64
}

// SetCount sets the number of requests tracked.
func (r *Requests) SetCount(n int) { r.n.Store(int64(n)) }

// Full reports whether further work must be refused.
func (r *Requests) Full() bool {
	limit := r.Limit
	if limit <= 0 {
		limit = DefaultRequestLimit
	}
	return r.n.Load() >= int64(limit)
}
