package feed

import (
	"time"

	"egretdock/core/follow"
)

// DefaultChangeDeadline is the time within which a change must be in force when
// the settings don't set it.
const DefaultChangeDeadline = 3 * time.Second

// maxBatchDelay bounds batchDelay whatever the deadline is: entries that return
// after an outage must arrive before roster.OpenFlowGrace is over.
const maxBatchDelay = 400 * time.Millisecond

// timing holds the waits and timeouts of the feed. They are fractions of the time
// within which a change of routes or instances must be in force, so that a silent
// connection is noticed in time and calls are as rare as that allows.
type timing struct {
	// watchWait is how long a watch waits for a change.
	watchWait time.Duration
	// firstWatchLimit is the longest time between the first list of a start and the
	// first watch.
	firstWatchLimit time.Duration
	// watchTimeout is the time after which a watch without a response has failed.
	// Its margin over watchWait is for a slow store: at a deadline of 3 s, 500 ms
	// or 120 times the usual 4 ms.
	watchTimeout time.Duration
	// batchDelay is the delay after a change, so that the next call fetches all
	// changes that follow closely: instances register one by one when a deployment
	// starts, and there may be several edits a second.
	batchDelay time.Duration
	// probeTimeout is the time after which a call has failed that the store answers
	// at once, made after it was lost. One kind of objects waits for as long, at most,
	// while another makes such a call.
	probeTimeout time.Duration
	// newsWait is how long a peer waits for news before it confirms the revisions in
	// force.
	newsWait time.Duration
	// newsTimeout is the time after which a request for news without a response has
	// failed. It leaves half of the deadline for reading the store.
	newsTimeout time.Duration
	// follow holds the times that decide whom to ask and when to read the store.
	follow follow.Timing
	// maxNewsAge is the time since the store's last confirmation up to which a
	// peer's news are current. It covers a reader that is about to notice a silent
	// connection to the store, plus a round trip.
	maxNewsAge time.Duration
}

// newTiming returns the timing for a deadline of changes; 0 means
// DefaultChangeDeadline.
func newTiming(deadline time.Duration) timing {
	if deadline <= 0 {
		deadline = DefaultChangeDeadline
	}
	return timing{
		watchWait:       deadline * 20 / 30,
		firstWatchLimit: deadline * 12 / 30,
		watchTimeout:    deadline * 25 / 30,
		batchDelay:      min(deadline*4/30, maxBatchDelay),
		probeTimeout:    deadline * 15 / 30,
		newsWait:        deadline * 10 / 30,
		newsTimeout:     deadline * 14 / 30,
		maxNewsAge:      deadline * 26 / 30,
		follow: follow.Timing{
			// A reader that has just lost the store is noticed after watchTimeout;
			// two rounds of questions must fit into the rest of the deadline.
			Retry:     deadline * 2 / 30,
			SlowRetry: deadline * 10 / 30,
			Widen:     deadline,
		},
	}
}
