package front

import (
	"context"
	"runtime/debug"
	"time"

	"egretdock/io/loop"
)

// firstPacketsTime is the time after the start in which the packets are served
// that waited for it. After a power cut these are the requests of all clients.
const firstPacketsTime = 500 * time.Millisecond

// suspendCollector turns the garbage collector off and returns a function that
// waits until ready is closed and settle has passed, and turns it on again. The
// collector would run during the start, when the heap first reaches 4 MB, and
// take about a seventh of the start's processor time. The soft memory limit stays in
// force.
func suspendCollector() func(ctx context.Context, ready <-chan struct{}, settle time.Duration) error {
	percent := debug.SetGCPercent(-1)
	return func(ctx context.Context, ready <-chan struct{}, settle time.Duration) error {
		<-ready
		loop.Sleep(ctx, settle)
		debug.SetGCPercent(percent)
		return nil
	}
}
