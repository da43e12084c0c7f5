package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"egretdock/core/effect"
)

// timeline writes what happens in a run, one line of key=value pairs each.
type timeline struct {
	mu sync.Mutex
	w  io.Writer
}

func newTimeline(w io.Writer) *timeline {
	if w == nil {
		w = io.Discard
	}
	return &timeline{w: w}
}

func (t *timeline) event(balancer string, e *effect.Event) {
	t.write("balancer=%s event=%s flow=%x customer=%q upstream=%q revision=%d detail=%q", balancer, e.Name, e.Flow, e.Customer, e.Upstream, e.Revision, e.Detail)
}

func (t *timeline) step(s Step) { t.write("event=step step=%q", fmt.Sprintf("%T %+v", s, s)) }

func (t *timeline) outcome(customer, payload, how string) {
	t.write("event=call customer=%q call=%q outcome=%q", customer, payload, how)
}

func (t *timeline) write(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A line that cannot be written must not disturb the run.
	_, _ = fmt.Fprintf(t.w, "time=%s "+format+"\n", append([]any{time.Now().Format(time.RFC3339Nano)}, args...)...)
}
