package front

import (
	"context"
	"time"

	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/worker"
)

// maxLoadWait is how long a starting process leaves packets in the socket while
// it waits for routes and instances. A client gives up opening a flow after
// 1.4 s.
const maxLoadWait = time.Second

// delayedSource is a source that isn't read before ready is closed, so that
// packets that arrive while a process starts are not dropped.
type delayedSource struct {
	worker.Source
	ready <-chan struct{}
}

// Read implements worker.Source.
func (d *delayedSource) Read(fn func(input.Input)) error {
	<-d.ready
	return d.Source.Read(fn)
}

// loaded returns a channel that is closed once routes and instances are known,
// after limit at the latest. ctx ends the wait.
func (a *App) loaded(ctx context.Context, limit time.Duration) <-chan struct{} {
	ready := make(chan struct{})
	go func() {
		defer close(ready)
		timeout := time.NewTimer(limit)
		defer timeout.Stop()
		var h locks.Holder
		for {
			d, changed := a.engine.Tables.WatchDirect(&h)
			if hasRoutesAndInstances(d) {
				return
			}
			select {
			case <-changed:
			case <-timeout.C:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return ready
}
