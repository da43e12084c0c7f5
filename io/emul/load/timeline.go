package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"egretdock/io/emul/script"

	"egretdock/core/clock"
	"egretdock/core/effect"
	"egretdock/io/logs"
)

// timeline writes the events of a run as log lines, which the timeline command
// reads. All balancers run in this process, so one clock stamp orders their
// events.
type timeline struct {
	mu    sync.Mutex
	w     io.Writer
	stamp clock.Stamp
}

func newTimeline(w io.Writer) *timeline {
	if w == nil {
		w = io.Discard
	}
	return &timeline{w: w}
}

func (t *timeline) event(process string, e effect.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stamp = t.stamp.Tick(time.Now())
	r := logs.Record{Process: process, At: t.stamp}.WithEvent(e)
	// A write error does not end the run.
	_, _ = fmt.Fprintln(t.w, r)
}

func (t *timeline) step(s script.Step) {
	t.event("load", effect.Event{Name: "step", Detail: fmt.Sprintf("%T %+v", s, s)})
}

// outcome writes an event for a call or feed that failed.
func (t *timeline) outcome(customer string, flow uint64, detail string) {
	t.event("load", effect.Event{Name: "client_outcome", Customer: customer, Flow: flow, Detail: detail})
}
