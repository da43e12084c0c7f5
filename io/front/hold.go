package front

import (
	"context"
	"time"

	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/worker"
)

// holdLimit is how long packets wait in the socket of a starting process for
// the routes and instances. A client gives up its opening after 1.4 s.
const holdLimit = time.Second

// held is a source that is not read before it is released.
type held struct {
	worker.Source
	release <-chan struct{}
}

// Read implements worker.Source.
func (h *held) Read(fn func(input.Input)) error {
	<-h.release
	return h.Source.Read(fn)
}

// hold returns a source that is read once routes and instances are known, after
// limit at the latest, so that packets that arrive while a process starts are
// not dropped. ctx ends the wait.
func (a *App) hold(ctx context.Context, src worker.Source, limit time.Duration) worker.Source {
	release := make(chan struct{})
	go func() {
		defer close(release)
		end := time.NewTimer(limit)
		defer end.Stop()
		var h locks.Holder
		for {
			d, renewed := a.engine.Tables.WatchDirect(&h)
			if known(d) {
				return
			}
			select {
			case <-renewed:
			case <-end.C:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return &held{Source: src, release: release}
}
