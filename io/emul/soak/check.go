package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"egretdock/io/emul/opaq"
	"egretdock/io/loop"
)

// recordViolation adds a broken invariant, or a failure of the run itself, to the
// report with the time of day.
func (tb *testbed) recordViolation(format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := time.Now().UTC().Format("15:04:05.000 ")
	tb.report.Broken = append(tb.report.Broken, at+fmt.Sprintf(format, args...))
}

// undisturbedSince reports whether no unplanned fault has been active since t,
// nor within settleTime before it.
func (tb *testbed) undisturbedSince(t time.Time) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return t.Sub(tb.unplannedUntil) >= settleTime
}

// checkService checks that an instance that accepted a flow belongs to the
// flow's service.
func (tb *testbed) checkService(s service, id uint64) {
	if u := tb.byID(id); u == nil || u.Service != s.name {
		tb.recordViolation("no_misroute: flow of %s opened at instance %d", s.name, id)
	}
}

// checkDrain checks that no opening packet reached an instance more than
// drainLimit after its drain began.
func (tb *testbed) checkDrain(u *instance) {
	last := u.Stats().LastOpening
	tb.mu.Lock()
	drained := u.drainStarted
	tb.mu.Unlock()
	if late := last.Sub(drained); late > drainLimit && tb.undisturbedSince(drained) {
		tb.recordViolation("drain_stops: an opening reached instance %d %s after it began to drain", u.ID, late)
	}
}

// checkFlowEnd checks the error that ended a flow: no wrong answer, and no reset
// while the flow's instance serves.
func (tb *testbed) checkFlowEnd(f *opaq.Flow, err error) {
	u := tb.byID(f.Instance)
	if !errors.Is(err, opaq.ErrReset) || u == nil {
		if !errors.Is(err, opaq.ErrReset) && !errors.Is(err, opaq.ErrTimeout) && !errors.Is(err, context.Canceled) {
			tb.recordViolation("whole_answer: %v", err)
		}
		return
	}
	tb.mu.Lock()
	alive := u.drainStarted.IsZero() && u.crashed.IsZero()
	tb.mu.Unlock()
	if alive && tb.undisturbedSince(time.Now()) {
		tb.recordViolation("flow_survives: flow at instance %d was reset", f.Instance)
	}
}

// checkRoutes opens flows to the address whose route is added and removed during
// the run, and checks that each change is in force within configLimit.
func (tb *testbed) checkRoutes(ctx context.Context, c *opaq.Client) {
	want, since := false, time.Now()
	for loop.Sleep(ctx, 200*time.Millisecond) {
		tb.mu.Lock()
		if tb.extraRoute != want {
			want, since = tb.extraRoute, time.Now()
		}
		tb.mu.Unlock()
		before := time.Now()
		f, err := c.Open(ctx, extraAddress)
		if ctx.Err() != nil {
			return
		}
		open := err == nil
		if open {
			f.Forget()
		}
		tb.mu.Lock()
		same := tb.extraRoute == want
		tb.mu.Unlock()
		// The bound runs from the change, whether or not a fault was active then; only
		// the opening must be undisturbed.
		if same && open != want && before.Sub(since) > configLimit && tb.undisturbedSince(before) && tb.undisturbedSince(time.Now()) {
			tb.recordViolation("edit_sticks: address with route=%t opened=%t, %s after the change", want, open, before.Sub(since))
		}
	}
}

// servedWindow is the time in which requests are counted after all faults.
const servedWindow = 3 * time.Second

// checkRecovery checks that requests are served again within recoveryLimit after
// the last fault, that a change of the configuration takes effect then, and that no
// balancer has exited.
func (tb *testbed) checkRecovery(ctx context.Context) {
	if !loop.Sleep(ctx, recoveryLimit) {
		return
	}
	tb.mu.Lock()
	before, extra := tb.report.Served["answered"], tb.extraRoute
	tb.mu.Unlock()
	// checkRoutes judges this change, which no fault disturbs.
	tb.configure(!extra)
	if !loop.Sleep(ctx, servedWindow) {
		return
	}
	tb.mu.Lock()
	served := tb.report.Served["answered"] - before
	tb.mu.Unlock()
	// Each client has three flows, and each flow sends more than two requests per
	// second when nothing fails.
	if least := tb.opts.Clients; served < least {
		tb.recordViolation("recovery: %d requests served in %s after all faults, want at least %d", served, servedWindow, least)
	}
	if !loop.Sleep(ctx, configLimit-servedWindow+time.Second) {
		return
	}
	for _, b := range tb.balancers {
		if !b.running() {
			tb.recordViolation("recovery: balancer %s has ended by itself", b.name)
		}
	}
}
