package front

import (
	"context"
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
	a.engine.Handle(w, time.Now(), &input.RoutesConfirmed{Routing: model.Routing{Revision: 1}})
	a.engine.Handle(w, time.Now(), &input.InstancesListed{Revision: 1})
}

// Guards against a starting process that reads packets before it knows routes
// and so drops them. Clients repeat a packet only after 200 ms.
func TestPacketsWaitForRoutes(t *testing.T) {
	read := func(t *testing.T, a *App, limit time.Duration, before func()) {
		t.Helper()
		src := &countedReads{reads: make(chan struct{}, 1)}
		h := a.delayUntilLoaded(t.Context(), src, limit)
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
		if err := (&App{}).delayUntilLoaded(ctx, src, time.Hour).Read(nil); err != nil {
			t.Error(err)
		}
	})
}
