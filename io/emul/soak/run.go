package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/packet"
	"egretdock/io/emul/opaq"
	"egretdock/io/loop"
)

// Options configure a run; all are required but PlannedOnly.
type Options struct {
	// Seed decides the faults.
	Seed uint64
	// For is the time with faults.
	For time.Duration
	// PlannedOnly leaves out all faults but planned work.
	PlannedOnly bool
	// Processes is the number of balancers.
	Processes int
	// Clients is the number of client addresses; each has several flows.
	Clients int
	// Program is the path of the egretdock binary.
	Program string
	// Dir takes settings and logs.
	Dir string
}

const (
	// startLimit bounds the wait until all balancers are ready.
	startLimit = 20 * time.Second
	// touchTime is the time without unplanned faults after which bounds hold.
	touchTime = 4 * time.Second
	// drainLimit and configLimit are the bounds for draining and configuration.
	drainLimit, configLimit = 3 * time.Second, 3 * time.Second
	// recoverLimit is the bound for serving again after all faults.
	recoverLimit = 12 * time.Second
	// requestLimit is the deadline of a request.
	requestLimit = 1500 * time.Millisecond
)

// Run runs balancers under faults and reports what broke.
func Run(ctx context.Context, o Options) (Report, error) {
	w, err := newWorld(o)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g sync.WaitGroup
	g.Go(func() { w.probe(ctx) })
	defer g.Wait()
	defer cancel()
	if err := w.awaitReady(ctx); err != nil {
		return w.report, err
	}
	for i := range o.Clients {
		c, err := w.newClient(byte(i + 1))
		if err != nil {
			return w.report, err
		}
		defer func() { _ = c.Close() }()
		for k := range 3 {
			rnd := rand.New(rand.NewPCG(o.Seed, uint64(100+10*i+k)))
			g.Go(func() { w.use(ctx, c, services[k%len(services)], rnd) })
		}
		if i == 0 {
			g.Go(func() { w.checkRoutes(ctx, c) })
		}
	}
	w.inject(ctx)
	w.checkRecovery(ctx)
	cancel()
	g.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report, nil
}

// newClient starts a client of the data centre that its number belongs to.
func (w *world) newClient(n byte) (*opaq.Client, error) {
	dc := dataCentre(int(n))
	at := netip.AddrPortFrom(w.addr(2, n), w.ports.packets)
	return opaq.NewClient(at, func(f packet.FlowID) netip.AddrPort { return w.pick(dc, f) })
}

func (w *world) awaitReady(ctx context.Context) error {
	end := time.Now().Add(startLimit)
	for time.Now().Before(end) {
		ready := 0
		for _, b := range w.balancers {
			if b.inRotation() {
				ready++
			}
		}
		if ready == len(w.balancers) {
			return nil
		}
		if !loop.Sleep(ctx, probeEvery/5) {
			return ctx.Err()
		}
	}
	return errors.Errorf("balancers not ready within %s; see the logs in %s", startLimit, w.opts.Dir)
}

// use opens flows to a service one after the other and sends requests on each.
func (w *world) use(ctx context.Context, c *opaq.Client, s service, rnd *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		f, err := c.Open(ctx, s.address)
		if err != nil {
			w.count(false, "open: "+err.Error())
			loop.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		w.checkService(s, f.Instance)
		for k := range 1 + rnd.IntN(8) {
			err := f.Echo(ctx, fmt.Appendf(nil, "%s %d.%d to instance %d", s.name, n, k, f.Instance), requestLimit)
			if ctx.Err() != nil {
				return
			}
			w.count(err == nil, outcome(err))
			if err != nil {
				w.checkEnd(f, err)
				break
			}
			loop.Sleep(ctx, time.Duration(rnd.IntN(300))*time.Millisecond)
			if u := w.byID(f.Instance); u == nil || w.leaving(u) {
				// A draining instance closes its flows after the next answer.
				break
			}
		}
		f.Forget()
	}
}

func (w *world) leaving(u *instance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !u.drained.IsZero()
}

func outcome(err error) string {
	if err == nil {
		return "answered"
	}
	return "request: " + err.Error()
}

func (w *world) count(ok bool, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		w.report.Served[what]++
	} else {
		w.report.Failed[what]++
	}
}
