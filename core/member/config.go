package member

import "time"

// Config holds the timing of failure detection. A zero field takes its default.
type Config struct {
	// ProbeInterval is the time between two probes (500 ms: two per second).
	ProbeInterval time.Duration
	// ContactInterval is the time between two probes of listed hosts that are
	// not live (4 s). These probes join the sides of a healed partition.
	ContactInterval time.Duration
	// DirectTimeout is the wait before a probe is repeated through other balancers
	// (300 ms, above the round trip between regions).
	DirectTimeout time.Duration
	// ProbeTimeout is the wait before an unanswered balancer is suspected
	// (800 ms from the first ping).
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute the suspicion
	// (3 s).
	SuspicionTimeout time.Duration
	// FinalProbeLead is the time between the final probe of a suspect and the end
	// of SuspicionTimeout (1 s).
	FinalProbeLead time.Duration
	// CatchUpTimeout is the time after which a balancer acts as an owner although
	// it has not caught up with a peer (5 s).
	CatchUpTimeout time.Duration
	// LeaveTimeout is the time after which a leaving balancer counts as dead
	// (40 s: an exit takes up to 30 s, plus a margin).
	LeaveTimeout time.Duration
	// DeadRetention is the time during which a dead balancer's incarnation is
	// remembered (5 min, longer than any update circulates in the fleet).
	DeadRetention time.Duration
	// MismatchTimeout is the time without a matching digest from any peer after
	// which the member list is compared page by page (10 s, longer than an update
	// normally takes to reach all balancers).
	MismatchTimeout time.Duration
	// PageInterval is the time between two pages of that comparison (2 s). A
	// balancer that is catching up asks for a page on each tick.
	PageInterval time.Duration
}

// WithDefaults returns a copy whose zero fields hold their defaults.
func (c Config) WithDefaults() Config {
	for _, f := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.ProbeInterval, 500 * time.Millisecond},
		{&c.ContactInterval, 4 * time.Second},
		{&c.DirectTimeout, 300 * time.Millisecond},
		{&c.ProbeTimeout, 800 * time.Millisecond},
		{&c.SuspicionTimeout, 3 * time.Second},
		{&c.FinalProbeLead, time.Second},
		{&c.CatchUpTimeout, 5 * time.Second},
		{&c.LeaveTimeout, 40 * time.Second},
		{&c.DeadRetention, 5 * time.Minute},
		{&c.MismatchTimeout, 10 * time.Second},
		{&c.PageInterval, 2 * time.Second},
	} {
		if *f.field <= 0 {
			*f.field = f.value
		}
	}
	return c
}
