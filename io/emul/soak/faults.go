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

// graceLimit is the time from SIGTERM to SIGKILL.
const graceLimit = 6 * time.Second

// fault is one kind of trouble. It returns what it did; unplanned faults hold
// unrest until they end.
type fault struct {
	name    string
	planned bool
	run     func(w *world, ctx context.Context, draw draw)
}

// draw is the part of the seed's randomness that one fault uses, drawn before it
// starts, so that a seed replays the same faults.
type draw struct {
	pick uint64
	wait time.Duration
}

func (d draw) balancer(w *world) *balancer { return w.balancers[d.pick%uint64(len(w.balancers))] }

var faults = []fault{
	{"kill", false, func(w *world, ctx context.Context, d draw) {
		b := d.balancer(w)
		b.signal(sigKill)
		b.wait(time.Second)
		loop.Sleep(ctx, d.wait/4)
		w.restart(b)
	}},
	{"kill_all", false, func(w *world, ctx context.Context, d draw) {
		for _, b := range w.balancers {
			b.signal(sigKill)
		}
		loop.Sleep(ctx, d.wait/4)
		for _, b := range w.balancers {
			b.wait(time.Second)
			w.restart(b)
		}
	}},
	{"freeze", false, func(w *world, ctx context.Context, d draw) {
		b := d.balancer(w)
		b.signal(sigStop)
		loop.Sleep(ctx, d.wait)
		b.signal(sigCont)
	}},
	{"roll", true, func(w *world, ctx context.Context, d draw) {
		b := d.balancer(w)
		b.signal(sigTerm)
		if !b.wait(graceLimit) {
			w.broke("graceful_exit: balancer %s still runs %s after SIGTERM", b.name, graceLimit)
			b.signal(sigKill)
			b.wait(time.Second)
		}
		loop.Sleep(ctx, d.wait/4)
		w.restart(b)
	}},
	{"reload", true, func(w *world, _ context.Context, d draw) { d.balancer(w).signal(sigHup) }},
	{"link", false, func(w *world, ctx context.Context, d draw) {
		b := d.balancer(w)
		b.store.set([]Link{LinkSlow, LinkReset, LinkSilent, LinkOneWay}[d.pick/7%4])
		loop.Sleep(ctx, d.wait)
		b.store.set(LinkUp)
	}},
	{"store", false, func(w *world, ctx context.Context, d draw) {
		w.store.SetFault([]objs.Fault{objs.FaultBusy, objs.FaultSilent, objs.FaultReset}[d.pick%3])
		loop.Sleep(ctx, d.wait)
		w.store.SetFault(objs.FaultNone)
	}},
	{"compact", false, func(w *world, _ context.Context, _ draw) { w.store.Compact() }},
	{"configure", true, func(w *world, _ context.Context, d draw) { w.configure(d.pick%2 == 0) }},
	{"release", true, func(w *world, ctx context.Context, d draw) { w.replace(ctx, d) }},
	{"crash", false, func(w *world, ctx context.Context, d draw) { w.crash(ctx, d) }},
}

func (w *world) restart(b *balancer) {
	if err := b.start(); err != nil {
		w.broke("restart: %v", err)
	}
}

// takeInstance returns an instance in use that is not the last of its service.
func (w *world) takeInstance(d draw) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var free []*instance
	count := make(map[string]int)
	for _, u := range w.instances {
		if u.drained.IsZero() && u.lost.IsZero() {
			free = append(free, u)
			count[u.Service]++
		}
	}
	if len(free) == 0 {
		return nil
	}
	if u := free[d.pick%uint64(len(free))]; count[u.Service] > 1 {
		return u
	}
	return nil
}

// replace drains an instance after it has started another.
func (w *world) replace(ctx context.Context, d draw) {
	u := w.takeInstance(d)
	if u == nil {
		return
	}
	if err := w.addInstance(u.Service, u.dataCentre); err != nil {
		w.broke("harness: %v", err)
		return
	}
	w.mu.Lock()
	u.drained = time.Now()
	w.register(u)
	w.mu.Unlock()
	// It serves its flows for the bound and somewhat longer, in which an opening
	// that should not come can be seen.
	loop.Sleep(ctx, drainLimit+time.Second+d.wait)
	w.checkDrain(u)
	w.unregister(u)
}

// crash lets an instance go silent; its entry lapses after three heartbeats of
// 770 ms, and another one takes its place.
func (w *world) crash(ctx context.Context, d draw) {
	u := w.takeInstance(d)
	if u == nil {
		return
	}
	w.mu.Lock()
	u.lost = time.Now()
	w.mu.Unlock()
	u.SetUnresponsive(true)
	loop.Sleep(ctx, 3*770*time.Millisecond)
	w.unregister(u)
	if err := w.addInstance(u.Service, u.dataCentre); err != nil {
		w.broke("harness: %v", err)
	}
}

// inject starts faults until the run's time is over, and waits for their end.
// They overlap, and the same one may come twice.
func (w *world) inject(ctx context.Context) {
	end := time.Now().Add(w.opts.For)
	var g sync.WaitGroup
	busy := make(map[*balancer]*sync.Mutex)
	for _, b := range w.balancers {
		busy[b] = &sync.Mutex{}
	}
	from := slices.Clone(faults)
	if w.opts.PlannedOnly {
		from = slices.DeleteFunc(from, func(f fault) bool { return !f.planned })
	}
	lasting := 0
	for time.Now().Before(end) && loop.Sleep(ctx, time.Duration(w.rnd.IntN(2500))*time.Millisecond) {
		f := from[w.rnd.IntN(len(from))]
		d := draw{pick: w.rnd.Uint64(), wait: time.Duration(200+w.rnd.IntN(3000)) * time.Millisecond}
		w.mu.Lock()
		w.report.Faults = append(w.report.Faults, fmt.Sprintf("%s pick=%d wait=%s", f.name, d.pick%1000, d.wait))
		if !f.planned {
			lasting++
			w.unrest = time.Now().Add(forever)
		}
		w.mu.Unlock()
		g.Go(func() {
			// Two faults of one process follow each other, since a signal to a
			// process that is being restarted would be lost.
			switch f.name {
			case "kill", "freeze", "roll":
				mu := busy[d.balancer(w)]
				mu.Lock()
				defer mu.Unlock()
			case "kill_all":
				for _, b := range w.balancers {
					busy[b].Lock()
					defer busy[b].Unlock()
				}
			}
			f.run(w, ctx, d)
			if f.planned {
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if lasting--; lasting == 0 {
				w.unrest = time.Now()
			}
		})
	}
	g.Wait()
}
