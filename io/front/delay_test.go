package front

import (
	"context"
	"runtime/debug"
	"testing"
	"time"

	"egretdock/core/engine"
	"egretdock/core/input"
	"egretdock/core/model"
)

// countedReads is a source that counts how often it is read.
type countedReads struct{ reads chan struct{} }

func (c *countedReads) Read(func(input.Input)) error {
	c.reads <- struct{}{}
	return nil
}

// load gives the app routes and an empty list of instances.
func load(a *App) {
	w := engine.NewWorkerState(1)
	a.engine.Handle(w, time.Now(), &input.RoutesConfirmed{Routing: model.Routing{Position: model.Position{Revision: 1}}})
	a.engine.Handle(w, time.Now(), &input.InstancesListed{Position: model.Position{Revision: 1}})
}

// Guards against a starting process that reads packets before it knows routes
// and so drops them. Clients repeat a packet only after 200 ms.
func TestPacketsWaitForRoutes(t *testing.T) {
	read := func(t *testing.T, a *App, limit time.Duration, before func()) {
		t.Helper()
		src := &countedReads{reads: make(chan struct{}, 1)}
		h := &delayedSource{Source: src, ready: a.loaded(t.Context(), limit)}
		done := make(chan error, 1)
		go func() { done <- h.Read(nil) }()
		if before != nil {
			select {
			case <-src.reads:
				t.Error("read before the routes are known")
			case <-time.After(50 * time.Millisecond):
			}
			before()
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	t.Run("routes and instances arrive", func(t *testing.T) {
		a := &App{}
		read(t, a, time.Hour, func() { load(a) })
	})
	t.Run("already known", func(t *testing.T) {
		a := &App{}
		load(a)
		read(t, a, time.Hour, nil)
	})
	t.Run("limit expires", func(t *testing.T) { read(t, &App{}, time.Millisecond, nil) })
	t.Run("context ends", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		src := &countedReads{reads: make(chan struct{}, 1)}
		h := &delayedSource{Source: src, ready: (&App{}).loaded(ctx, time.Hour)}
		if err := h.Read(nil); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a garbage collection before the first packet: it costs a
// small host a seventh of the processor time of its start. Also guards against a collector that
// stays off.
func TestCollectorWaitsForRoutes(t *testing.T) {
	const percent = 100
	defer debug.SetGCPercent(debug.SetGCPercent(percent))
	ready := make(chan struct{})
	done := make(chan error, 1)
	resume := suspendCollector()
	go func() { done <- resume(t.Context(), ready, time.Millisecond) }()
	assertPercent(t, "while it starts", -1)
	close(ready)
	if err := <-done; err != nil {
		t.Error(err)
	}
	assertPercent(t, "once it has started", percent)
}

func assertPercent(t *testing.T, when string, want int) {
	t.Helper()
	got := debug.SetGCPercent(want)
	if got != want {
		t.Errorf("the collector's target %s is %d%%, want %d%%", when, got, want)
	}
}
