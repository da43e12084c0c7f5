package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"egretdock/io/emul/opaq"
	"egretdock/io/loop"
)

// broke records a promise that did not hold.
func (w *world) broke(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Now().UTC().Format("15:04:05.000 ")
	w.report.Broken = append(w.report.Broken, at+fmt.Sprintf(format, args...))
}

// calmSince reports whether no unplanned fault touched anything since a time,
// nor within touchTime before it.
func (w *world) calmSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return t.Sub(w.unrest) >= touchTime
}

// checkService checks that a flow was opened at an instance of its service.
func (w *world) checkService(s service, id uint64) {
	if u := w.byID(id); u == nil || u.Service != s.name {
		w.broke("no_misroute: flow of %s opened at instance %d", s.name, id)
	}
}

// checkDrain checks that no opening reached an instance long after it had
// announced its end.
func (w *world) checkDrain(u *instance) {
	last := u.Stats().LastOpening
	w.mu.Lock()
	drained := u.drained
	w.mu.Unlock()
	if late := last.Sub(drained); late > drainLimit && w.calmSince(drained) {
		w.broke("drain_stops: an opening reached instance %d %s after it began to drain", u.ID, late)
	}
}

// checkEnd checks that an open flow was not reset while its instance lives.
func (w *world) checkEnd(f *opaq.Flow, err error) {
	u := w.byID(f.Instance)
	if !errors.Is(err, opaq.ErrReset) || u == nil {
		if !errors.Is(err, opaq.ErrReset) && !errors.Is(err, opaq.ErrTimeout) && !errors.Is(err, context.Canceled) {
			w.broke("whole_answer: %v", err)
		}
		return
	}
	w.mu.Lock()
	lives := u.drained.IsZero() && u.lost.IsZero()
	w.mu.Unlock()
	if lives && w.calmSince(time.Now()) {
		w.broke("flow_survives: flow at instance %d was reset", f.Instance)
	}
}

// checkRoutes opens flows on the address whose route comes and goes, and checks
// that the configuration in force is not too old.
func (w *world) checkRoutes(ctx context.Context, c *opaq.Client) {
	want, since := false, time.Now()
	for loop.Sleep(ctx, 200*time.Millisecond) {
		w.mu.Lock()
		if w.extra != want {
			want, since = w.extra, time.Now()
		}
		w.mu.Unlock()
		before := time.Now()
		f, err := c.Open(ctx, extraAddress)
		if ctx.Err() != nil {
			return
		}
		open := err == nil
		if open {
			f.Forget()
		}
		w.mu.Lock()
		same := w.extra == want
		w.mu.Unlock()
		if same && open != want && before.Sub(since) > configLimit && w.calmSince(since) && w.calmSince(time.Now()) {
			w.broke("edit_sticks: address with route=%t opened=%t, %s after the change", want, open, before.Sub(since))
		}
	}
}

// checkRecovery checks that requests are served again once all faults are over.
func (w *world) checkRecovery(ctx context.Context) {
	if !loop.Sleep(ctx, recoverLimit) {
		return
	}
	w.mu.Lock()
	before := w.report.Served["answered"]
	w.mu.Unlock()
	if !loop.Sleep(ctx, 3*time.Second) {
		return
	}
	w.mu.Lock()
	served := w.report.Served["answered"] - before
	w.mu.Unlock()
	// Each flow does more than two requests a second when nothing fails.
	if least := w.opts.Clients; served < least {
		w.broke("recovery: %d requests served in 3 s after all faults, want at least %d", served, least)
	}
	for _, b := range w.balancers {
		if !b.running() {
			w.broke("recovery: balancer %s has ended by itself", b.name)
		}
	}
}
