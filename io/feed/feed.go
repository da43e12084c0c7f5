// Package feed follows the routes and the list of instances in the platform's
// store and passes what it learns on as inputs.
package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/limit"
	"egretdock/io/loop"
	"egretdock/platform"
)

const (
	// pageTimeout bounds one page of a list, which does not wait. When 300 hosts
	// start at once, reading a page of 500 instances takes the smallest of them
	// some hundred milliseconds; a bound on the whole list ended it again and again.
	pageTimeout = 1500 * time.Millisecond
	// groupPause is the pause after a change, so that one call fetches the changes
	// that follow closely: instances register one by one when a deployment starts,
	// and edits may come several a second. It is short against the bound for both.
	groupPause = 400 * time.Millisecond
	// firstWatch is the pause between the first list, which may be some seconds old
	// and costs a tenth, and the watch that brings the rest. By then a follower has
	// found its reader and needs no watch.
	firstWatch = 300 * time.Millisecond
	// retryFirst and retryMost bound the wait after a failed call; each call is
	// paid for, refused ones too.
	retryFirst, retryMost = 100 * time.Millisecond, time.Second
)

// Feed follows the store. All fields but Bound are required.
type Feed struct {
	Store *platform.StoreClient
	Peers Peers
	Local LocalState
	// Push takes an input; it may block.
	Push func(input.Input)
	// LogEvent reports something for the log; it must not block.
	LogEvent func(effect.Event)
	// ObserveCall is told of each call's duration and outcome.
	ObserveCall func(d time.Duration, ok bool)
	// Seed starts the random source of the retries.
	Seed uint64
	// ChangeDeadline is the time in which a change must be in force; 0 means DefaultBound.
	ChangeDeadline time.Duration

	gate   *gate
	timing timing
}

// Run follows the store until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	f.gate, f.timing = newGate(), timingOf(f.ChangeDeadline)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.followPeers(ctx) })
	g.Go(func() error { return f.start(ctx) })
	g.Go(func() error { return f.follow(ctx, &routes{f: f}) })
	g.Go(func() error { return f.follow(ctx, &instances{f: f}) })
	return g.Wait()
}

// source is one kind of objects to follow.
type source interface {
	name() string
	// list reads everything and returns the revision to watch from.
	list(ctx context.Context, l platform.ListOptions) (uint64, error)
	// watch reads what changed after a revision.
	watch(ctx context.Context, from uint64) (uint64, error)
	// known returns a revision from which a watch misses nothing, or 0.
	known() uint64
	// away is told when the store stops or starts to answer.
	away(bool)
}

// follow reads one kind of objects while the gate is open.
func (f *Feed) follow(ctx context.Context, s source) error {
	rnd := rand.New(rand.NewPCG(f.Seed, uint64(len(s.name()))))
	for {
		open := f.gate.wait(ctx)
		if open == nil || ctx.Err() != nil {
			return nil
		}
		f.followStore(open, s, rnd)
	}
}

// followStore lists and then watches until ctx ends. It lists again only when
// the store has forgotten the revision.
func (f *Feed) followStore(ctx context.Context, s source, rnd *rand.Rand) {
	at := s.known()
	fresh := platform.AllowStale
	failed := 0
	lost := time.Time{}
	defer func() {
		if failed > 0 {
			// Others may still reach the store; what they pass on counts.
			s.away(false)
		}
	}()
	for ctx.Err() == nil {
		next, err := f.step(ctx, s, at, fresh)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if failed > 0 {
				s.away(false)
				f.LogEvent(effect.Event{Name: "store_regained", ListRevision: next, Detail: "kind=" + s.name() + " after=" + time.Since(lost).String()})
			}
			switch {
			case at == 0 && fresh == platform.AllowStale:
				loop.Sleep(ctx, firstWatch)
			case at > 0 && next > at:
				// Changes come in groups; one call fetches those of a group.
				loop.Sleep(ctx, groupPause)
			}
			failed, at = 0, next
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			f.LogEvent(effect.Event{Name: "history_gone", ListRevision: at, Detail: "kind=" + s.name() + " action=list"})
			at, fresh = 0, platform.Latest
			continue
		}
		if failed++; failed == 1 {
			lost = time.Now()
			s.away(true)
			f.LogEvent(effect.Event{Name: "store_lost", ListRevision: at, Detail: "kind=" + s.name() + " err=" + err.Error()})
		}
		f.Store.CloseIdleConnections()
		loop.Sleep(ctx, limit.Backoff(failed, retryFirst, retryMost, rnd))
	}
}

// step makes one call: a list without a revision to watch from, else a watch.
func (f *Feed) step(ctx context.Context, s source, at uint64, fresh platform.Freshness) (uint64, error) {
	start := time.Now()
	next, err := f.call(ctx, s, at, fresh)
	f.ObserveCall(time.Since(start), err == nil)
	return next, err
}

func (f *Feed) call(ctx context.Context, s source, at uint64, fresh platform.Freshness) (uint64, error) {
	if at == 0 {
		return s.list(ctx, platform.ListOptions{Freshness: fresh, PageTimeout: pageTimeout})
	}
	ctx, cancel := context.WithTimeout(ctx, f.timing.watchLimit)
	defer cancel()
	return s.watch(ctx, at)
}
