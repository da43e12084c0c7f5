package feed

import (
	"context"
	"testing"
	"time"

	"egretdock/core/model"
	"egretdock/core/roster"
	"egretdock/platform"
)

// Guards against waits that are too long for the deadline of changes: a silent
// store must be noticed within it, and a silent reader early enough to read the
// store within it.
func TestTimingKeepsDeadline(t *testing.T) {
	for _, deadline := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 5 * time.Second, 19 * time.Second} {
		tm, effective := newTiming(deadline), deadline
		if effective == 0 {
			effective = DefaultChangeDeadline
		}
		below := func(what string, d, limit time.Duration) {
			t.Helper()
			if d <= 0 || d >= limit {
				t.Errorf("deadline %v: %s is %v, want less than %v", deadline, what, d, limit)
			}
		}
		below("timeout of a watch", tm.watchTimeout, effective)
		below("timeout of a watch after a change", tm.batchDelay+tm.watchTimeout, effective)
		below("delay of entries that return", tm.batchDelay, (roster.OpenFlowGrace-roster.NewFlowGrace)/3)
		below("two rounds of questions after a reader has lost the store", tm.watchTimeout+2*tm.follow.Retry, effective)
		below("first watch after a list that may be stale", tm.firstWatchLimit, effective/2)
		below("watch after an outage, and a probe that was lost", tm.probeTimeout+firstRetryDelay, effective*2/3)
		below("wait of a watch", tm.watchWait, tm.watchTimeout)
		below("timeout of a request for news", tm.newsTimeout, effective/2)
		below("wait for news", tm.newsWait, tm.newsTimeout)
		below("age of a silent reader's news", tm.watchTimeout, tm.maxNewsAge)
	}
}

// recordingSource records the options of its list call.
type recordingSource struct {
	source
	hasDeadline bool
	options     platform.ListOptions
}

func (s *recordingSource) list(ctx context.Context, options platform.ListOptions) (model.Position, error) {
	_, s.hasDeadline = ctx.Deadline()
	s.options = options
	return at(1), nil
}

// Guards against a list of thousands of instances that is cancelled and restarted
// forever, because its pages together take longer than one call may.
func TestOnlyPagesHaveTimeouts(t *testing.T) {
	f, s := &Feed{timing: newTiming(0)}, &recordingSource{}
	if _, err := f.listOrWatch(t.Context(), s, model.Position{}, platform.AllowStale, false); err != nil {
		t.Fatal(err)
	}
	if s.hasDeadline || s.options.PageTimeout <= 0 {
		t.Errorf("deadline for the whole list: %v, timeout of a page: %v; want only a timeout of a page", s.hasDeadline, s.options.PageTimeout)
	}
}

// Guards against a watch by every balancer that starts: only the reader of its data
// centre needs one, and it must not wait once it knows that it is the reader.
func TestFirstWatchWaitsForRole(t *testing.T) {
	newFeed := func(limit time.Duration) *Feed {
		return &Feed{timing: timing{firstWatchLimit: limit}, isReader: make(chan struct{})}
	}
	returns := func(t *testing.T, f *Feed, ctx context.Context, event func()) {
		t.Helper()
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.awaitRole(ctx)
		}()
		if event != nil {
			select {
			case <-done:
				t.Error("the first watch did not wait")
			default:
			}
			event()
		}
		<-done
	}
	t.Run("it is the reader", func(t *testing.T) {
		f := newFeed(time.Hour)
		returns(t, f, t.Context(), func() { close(f.isReader) })
	})
	t.Run("it has found one", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		returns(t, newFeed(time.Hour), ctx, cancel)
	})
	t.Run("limit", func(t *testing.T) { returns(t, newFeed(time.Millisecond), t.Context(), nil) })
}
