package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"egretdock/io/emul/objs"
	"egretdock/io/loop"
)

const (
	sigKill = syscall.SIGKILL
	sigTerm = syscall.SIGTERM
	sigStop = syscall.SIGSTOP
	sigCont = syscall.SIGCONT
	sigHup  = syscall.SIGHUP
)

// graceLimit is the time that a balancer has to exit after SIGTERM.
const graceLimit = 6 * time.Second

// fault is a kind of fault that a run injects. run returns when the fault has
// ended. Planned faults are routine operations, during which every invariant
// must hold. Invariants that an unplanned one may break are not checked while it
// is active or for settleTime after it.
type fault struct {
	name    string
	planned bool
	run     func(tb *testbed, ctx context.Context, p faultParams)
}

// faultParams are the random parameters of one fault. They are drawn from the
// seed before the fault starts, so that a seed replays the same faults.
type faultParams struct {
	// pick selects the target or the variant.
	pick uint64
	// wait sets how long the fault lasts.
	wait time.Duration
}

func (p faultParams) balancer(tb *testbed) *balancer {
	return tb.balancers[p.pick%uint64(len(tb.balancers))]
}

var faults = []fault{
	{"kill", false, func(tb *testbed, ctx context.Context, p faultParams) {
		b := p.balancer(tb)
		b.signal(sigKill)
		b.wait(time.Second)
		loop.Sleep(ctx, p.wait/4)
		tb.restart(b)
	}},
	{"kill_all", false, func(tb *testbed, ctx context.Context, p faultParams) {
		for _, b := range tb.balancers {
			b.signal(sigKill)
		}
		loop.Sleep(ctx, p.wait/4)
		for _, b := range tb.balancers {
			b.wait(time.Second)
			tb.restart(b)
		}
	}},
	{"freeze", false, func(tb *testbed, ctx context.Context, p faultParams) {
		b := p.balancer(tb)
		b.signal(sigStop)
		loop.Sleep(ctx, p.wait)
		b.signal(sigCont)
	}},
	{"roll", true, func(tb *testbed, ctx context.Context, p faultParams) {
		b := p.balancer(tb)
		b.signal(sigTerm)
		if !b.wait(graceLimit) {
			tb.recordViolation("graceful_exit: balancer %s still runs %s after SIGTERM", b.name, graceLimit)
			b.signal(sigKill)
			b.wait(time.Second)
		}
		loop.Sleep(ctx, p.wait/4)
		tb.restart(b)
	}},
	{"reload", true, func(tb *testbed, ctx context.Context, p faultParams) { p.balancer(tb).reload(ctx) }},
	{"link", false, func(tb *testbed, ctx context.Context, p faultParams) {
		b := p.balancer(tb)
		b.store.set([]Link{LinkSlow, LinkReset, LinkSilent, LinkOneWay}[p.pick/7%4])
		loop.Sleep(ctx, p.wait)
		b.store.set(LinkUp)
	}},
	{"store", false, func(tb *testbed, ctx context.Context, p faultParams) {
		tb.store.SetFault([]objs.Fault{objs.FaultBusy, objs.FaultSilent, objs.FaultReset}[p.pick%3])
		loop.Sleep(ctx, p.wait)
		tb.store.SetFault(objs.FaultNone)
		if p.pick/3%2 == 0 {
			// An edit just after the return has its whole bound to take effect.
			loop.Sleep(ctx, 50*time.Millisecond)
			tb.configure(!tb.hasExtraRoute())
		}
	}},
	{"compact", false, func(tb *testbed, _ context.Context, _ faultParams) { tb.store.Compact() }},
	{"restore", false, func(tb *testbed, ctx context.Context, p faultParams) { tb.restoreStore(ctx, p) }},
	{"configure", true, func(tb *testbed, _ context.Context, p faultParams) { tb.configure(p.pick%2 == 0) }},
	{"release", true, func(tb *testbed, ctx context.Context, p faultParams) { tb.replace(ctx, p) }},
	{"crash", false, func(tb *testbed, ctx context.Context, p faultParams) { tb.crash(ctx, p) }},
}

func (tb *testbed) hasExtraRoute() bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.extraRoute
}

func (tb *testbed) restart(b *balancer) {
	if err := b.start(); err != nil {
		tb.recordViolation("restart: %v", err)
	}
}

// chooseInstance returns a serving instance, or nil if the one drawn is the last
// of its service.
func (tb *testbed) chooseInstance(p faultParams) *instance {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var serving []*instance
	count := make(map[string]int)
	for _, u := range tb.instances {
		if u.drainStarted.IsZero() && u.crashed.IsZero() {
			serving = append(serving, u)
			count[u.Service]++
		}
	}
	if len(serving) == 0 {
		return nil
	}
	if u := serving[p.pick%uint64(len(serving))]; count[u.Service] > 1 {
		return u
	}
	return nil
}

// replace starts a new instance of a service and drains an old one.
func (tb *testbed) replace(ctx context.Context, p faultParams) {
	u := tb.chooseInstance(p)
	if u == nil {
		return
	}
	if err := tb.addInstance(u.Service, u.dataCentre); err != nil {
		tb.recordViolation("harness: %v", err)
		return
	}
	tb.mu.Lock()
	u.drainStarted = time.Now()
	tb.register(u)
	tb.mu.Unlock()
	// Stay registered for longer than the bound, so that an opening packet that
	// arrives too late is seen.
	loop.Sleep(ctx, drainLimit+time.Second+p.wait)
	tb.checkDrain(u)
	tb.unregister(u)
}

// crash silences an instance. As the platform does, it removes the instance's
// entry after entryLifetime, and it starts a replacement.
func (tb *testbed) crash(ctx context.Context, p faultParams) {
	u := tb.chooseInstance(p)
	if u == nil {
		return
	}
	tb.mu.Lock()
	u.crashed = time.Now()
	tb.mu.Unlock()
	u.SetUnresponsive(true)
	loop.Sleep(ctx, entryLifetime)
	tb.unregister(u)
	if err := tb.addInstance(u.Service, u.dataCentre); err != nil {
		tb.recordViolation("harness: %v", err)
	}
}

// entryLifetime is how long the entry of an instance that no longer writes it
// stays: three heartbeats of 770 ms.
const entryLifetime = 3 * 770 * time.Millisecond

// restoreStore takes the store away and brings it back from a copy. Then the
// configuration and the entries of the running instances are written again, and the
// entries of those that have ended expire.
func (tb *testbed) restoreStore(ctx context.Context, p faultParams) {
	c := tb.store.Copy()
	// The more changes are lost, the longer the store issues known revisions.
	for i := range p.pick % 8 {
		tb.configure(i%2 == 0)
		loop.Sleep(ctx, p.wait/4)
	}
	tb.store.SetFault([]objs.Fault{objs.FaultBusy, objs.FaultSilent, objs.FaultReset}[p.pick%3])
	loop.Sleep(ctx, p.wait/4)
	tb.mu.Lock()
	tb.store.Restore(c)
	tb.putRouting()
	tb.mu.Unlock()
	tb.store.SetFault(objs.FaultNone)
	// The instances write at the times of their heartbeats.
	loop.Sleep(ctx, time.Duration(p.pick%770)*time.Millisecond)
	tb.mu.Lock()
	for _, u := range tb.instances {
		if u.registered {
			tb.register(u)
		}
	}
	tb.mu.Unlock()
	loop.Sleep(ctx, entryLifetime)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, u := range tb.instances {
		if !u.registered {
			o := u.entry()
			tb.store.Delete(o.Kind, o.Name)
		}
	}
}

// inject starts random faults for the duration of the run and waits until all
// have ended. Faults may overlap, also those of the same kind.
func (tb *testbed) inject(ctx context.Context) {
	end := time.Now().Add(tb.opts.Duration)
	var g sync.WaitGroup
	processLocks := make(map[*balancer]*sync.Mutex)
	for _, b := range tb.balancers {
		processLocks[b] = &sync.Mutex{}
	}
	candidates := slices.Clone(faults)
	if tb.opts.PlannedOnly {
		candidates = slices.DeleteFunc(candidates, func(f fault) bool { return !f.planned })
	}
	active := 0
	for time.Now().Before(end) && loop.Sleep(ctx, time.Duration(tb.rnd.IntN(2500))*time.Millisecond) {
		f := candidates[tb.rnd.IntN(len(candidates))]
		p := faultParams{pick: tb.rnd.Uint64(), wait: time.Duration(200+tb.rnd.IntN(3000)) * time.Millisecond}
		tb.mu.Lock()
		tb.report.Faults = append(tb.report.Faults, fmt.Sprintf("%s pick=%d wait=%s", f.name, p.pick%1000, p.wait))
		if !f.planned {
			active++
			tb.unplannedUntil = time.Now().Add(farFuture)
		}
		tb.mu.Unlock()
		g.Go(func() {
			// Faults that signal the same process run one after the other, since a
			// signal to a process that is being restarted would be lost.
			switch f.name {
			case "kill", "freeze", "roll":
				mu := processLocks[p.balancer(tb)]
				mu.Lock()
				defer mu.Unlock()
			case "kill_all":
				for _, b := range tb.balancers {
					processLocks[b].Lock()
					defer processLocks[b].Unlock()
				}
			}
			f.run(tb, ctx, p)
			if f.planned {
				return
			}
			tb.mu.Lock()
			defer tb.mu.Unlock()
			if active--; active == 0 {
				tb.unplannedUntil = time.Now()
			}
		})
	}
	g.Wait()
}
