package feed

import "time"

// DefaultChangeDeadline is the time in which a change must be in force when the settings
// don't say.
const DefaultChangeDeadline = 3 * time.Second

// timing is how long the feed waits. All of it follows from the bound within
// which a change of routes or instances has to be in force, so that a connection
// that went silent is noticed in time and calls are as rare as that allows.
type timing struct {
	// watchWait is how long a watch waits for a change.
	watchWait time.Duration
	// watchLimit is when a watch without an answer counts as lost. The margin is
	// time for a slow store: at a bound of 3 s, 500 ms or 120 times its usual 4 ms.
	watchLimit time.Duration
	// newsWait is how long a peer waits for news before it confirms the old ones.
	newsWait time.Duration
	// newsLimit is when a peer without an answer counts as lost, which leaves half
	// of the bound for reading the store.
	newsLimit time.Duration
	// newsAge is the age of the store's confirmation up to which a peer's news
	// count as current: that of a reader whose connection to the store has just
	// gone silent, and a round trip.
	newsAge time.Duration
}

// timingOf returns the timing for a bound; 0 means DefaultBound.
func timingOf(bound time.Duration) timing {
	if bound <= 0 {
		bound = DefaultChangeDeadline
	}
	return timing{
		watchWait:  bound * 20 / 30,
		watchLimit: bound * 25 / 30,
		newsWait:   bound * 10 / 30,
		newsLimit:  bound * 14 / 30,
		newsAge:    bound * 26 / 30,
	}
}
