// Package feed lists and watches the routes and instances, in the platform's
// store or through another balancer, and passes them to the engine as inputs.
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
	"egretdock/core/model"
	"egretdock/io/loop"
	"egretdock/platform"
)

const (
	// pageTimeout bounds the call for one page of a list. When 300 hosts start at
	// once, the smallest of them need some hundred milliseconds to read a page of
	// 500 instances. A timeout for the whole list expired on every attempt.
	pageTimeout = 1500 * time.Millisecond
	// firstRetryDelay and maxRetryDelay bound the delay after a failed call. Each
	// call is paid for, even one that the store refuses.
	firstRetryDelay, maxRetryDelay = 100 * time.Millisecond, time.Second
)

// Feed follows the store. All exported fields but ChangeDeadline are required.
type Feed struct {
	Store *platform.StoreClient
	Peers Peers
	Local LocalState
	// Push passes an input on; it may block.
	Push func(input.Input)
	// LogEvent logs an event; it must not block.
	LogEvent func(effect.Event)
	// ObserveCall records the duration and the outcome of a call.
	ObserveCall func(d time.Duration, ok bool)
	// Stalled returns how long the process has not run since a time. What arrived
	// meanwhile is older than it seems by that. nil means that it always runs.
	Stalled func(since time.Time) time.Duration
	// Seed initializes the random source of the retry delays.
	Seed uint64
	// ChangeDeadline is the time within which a change must be in force; 0 means
	// DefaultChangeDeadline.
	ChangeDeadline time.Duration

	gate    *gate
	timing  timing
	contact contact
	// isReader is closed once this balancer knows others of its data centre and
	// that it reads the store for them.
	isReader chan struct{}
}

// Run follows the store until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	f.gate, f.timing, f.isReader = newGate(), newTiming(f.ChangeDeadline), make(chan struct{})
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.followPeers(ctx) })
	g.Go(func() error { return f.startFromPeers(ctx) })
	g.Go(func() error { return f.learnLaterRoutes(ctx) })
	g.Go(func() error { return f.follow(ctx, &routeSource{f: f}) })
	g.Go(func() error { return f.follow(ctx, &instanceSource{f: f}) })
	return g.Wait()
}

// source is one kind of objects to follow.
type source interface {
	name() string
	// list reads all objects and returns the position to watch from.
	list(ctx context.Context, l platform.ListOptions) (model.Position, error)
	// watch reads the changes after a position, for which it waits, and returns the
	// next position to watch from.
	watch(ctx context.Context, from model.Position, wait time.Duration) (model.Position, error)
	// knownPosition returns a position from which a watch misses no change, or none.
	knownPosition() model.Position
	// setUnavailable is called when the store stops answering and when it answers
	// again.
	setUnavailable(bool)
}

// follow reads one kind of objects from the store while the gate is open.
func (f *Feed) follow(ctx context.Context, s source) error {
	rnd := rand.New(rand.NewPCG(f.Seed, uint64(len(s.name()))))
	for {
		openCtx := f.gate.wait(ctx)
		if openCtx == nil || ctx.Err() != nil {
			return nil
		}
		f.followStore(openCtx, s, rnd)
	}
}

// followStore lists the objects and then watches them until ctx ends. It lists
// again only when the store no longer has the history of the position.
func (f *Feed) followStore(ctx context.Context, s source, rnd *rand.Rand) {
	position := s.knownPosition()
	freshness := platform.AllowStale
	failures := 0
	lostAt := time.Time{}
	answered := false
	defer func() {
		f.contact.setLost(s.name(), false)
		if failures > 0 {
			// This balancer no longer reads the store. Others may still reach it, and
			// their news apply from now on.
			s.setUnavailable(false)
		}
	}()
	for ctx.Err() == nil {
		release := func() {}
		if failures > 0 {
			release = f.contact.takeTurn(ctx, f.timing.probeTimeout)
		}
		start := time.Now()
		next, err := f.call(ctx, s, position, freshness, failures > 0)
		release()
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.contact.setAnswered(s.name(), time.Now().Add(-f.stalled(start)))
			if failures > 0 || !answered {
				// Another balancer may have told that the store is away before this
				// one read it.
				s.setUnavailable(false)
				answered = true
			}
			if failures > 0 {
				f.LogEvent(effect.Event{Name: "store_regained", ListRevision: next.Revision, ListEra: next.Era, Detail: "kind=" + s.name() + " after=" + time.Since(lostAt).String()})
			}
			switch {
			case position.IsZero() && freshness == platform.AllowStale:
				f.awaitRole(ctx)
			case !position.IsZero() && next != position:
				// The next call fetches the changes that follow closely.
				loop.Sleep(ctx, f.timing.batchDelay)
			}
			failures, position = 0, next
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			f.LogEvent(effect.Event{Name: "history_gone", ListRevision: position.Revision, ListEra: position.Era, Detail: "kind=" + s.name() + " action=list"})
			position, freshness = model.Position{}, platform.Latest
			continue
		}
		if failures++; failures == 1 {
			lostAt = time.Now()
			f.contact.setLost(s.name(), true)
			s.setUnavailable(true)
			f.LogEvent(effect.Event{Name: "store_lost", ListRevision: position.Revision, ListEra: position.Era, Detail: "kind=" + s.name() + " err=" + err.Error()})
		}
		f.Store.CloseIdleConnections()
		loop.Sleep(ctx, limit.Backoff(failures, firstRetryDelay, maxRetryDelay, rnd))
	}
}

// awaitRole waits after the first list, which may be some seconds old and costs a
// tenth, until the balancer knows that it is the reader or ctx ends because it has
// found one, but not for longer than firstWatchLimit. Only a reader needs a watch,
// and a start takes about a second to find out. The others get the later changes
// with their first news.
func (f *Feed) awaitRole(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timing.firstWatchLimit)
	defer cancel()
	select {
	case <-f.isReader:
	case <-ctx.Done():
	}
}

// call makes one call of the store and reports it to ObserveCall.
func (f *Feed) call(ctx context.Context, s source, position model.Position, freshness platform.Freshness, lost bool) (model.Position, error) {
	start := time.Now()
	next, err := f.listOrWatch(ctx, s, position, freshness, lost)
	f.ObserveCall(time.Since(start), err == nil)
	return next, err
}

// listOrWatch watches from a position, or lists the objects if there is none. It
// returns the next position to watch from. A watch after the store was lost does
// not wait for a change, since its answer also says that the store is back.
func (f *Feed) listOrWatch(ctx context.Context, s source, position model.Position, freshness platform.Freshness, lost bool) (model.Position, error) {
	if position.IsZero() {
		return s.list(ctx, platform.ListOptions{Freshness: freshness, PageTimeout: pageTimeout})
	}
	wait, timeout := f.timing.watchWait, f.timing.watchTimeout
	if lost {
		wait, timeout = time.Millisecond, f.timing.probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.watch(ctx, position, wait)
}

// stalled returns how long the process has not run since a time.
func (f *Feed) stalled(since time.Time) time.Duration {
	if f.Stalled == nil {
		return 0
	}
	return f.Stalled(since)
}
