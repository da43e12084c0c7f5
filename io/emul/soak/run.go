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

// Options configure a run. All are required except Duration and PlannedOnly.
type Options struct {
	// Seed determines the faults and the requests.
	Seed uint64
	// Duration is how long faults are injected; zero injects none.
	Duration time.Duration
	// PlannedOnly restricts the faults to planned operations.
	PlannedOnly bool
	// Processes is the number of balancers.
	Processes int
	// Clients is the number of client addresses; each has several flows.
	Clients int
	// Program is the path of the egretdock binary.
	Program string
	// Dir is where the processes' settings and logs are written.
	Dir string
}

const (
	// startLimit bounds the wait until all balancers are ready.
	startLimit = 20 * time.Second
	// settleTime is the time after an unplanned fault from which the invariants
	// must hold again.
	settleTime = 4 * time.Second
	// drainLimit bounds new flows at a draining instance, configLimit the time
	// until a configuration is in force.
	drainLimit, configLimit = 3 * time.Second, 3 * time.Second
	// recoveryLimit bounds the time from the last fault until requests are served
	// again.
	recoveryLimit = 12 * time.Second
	// requestLimit is the deadline of a request.
	requestLimit = 1500 * time.Millisecond
)

// Run runs balancers under faults and reports the requests served and the
// invariants that broke.
func Run(ctx context.Context, o Options) (Report, error) {
	tb, err := newTestbed(o)
	if tb != nil {
		defer tb.close()
	}
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g sync.WaitGroup
	g.Go(func() { tb.probe(ctx) })
	defer g.Wait()
	defer cancel()
	if err := tb.awaitReady(ctx); err != nil {
		return tb.report, err
	}
	for i := range o.Clients {
		c, err := tb.newClient(byte(i + 1))
		if err != nil {
			return tb.report, err
		}
		defer func() { _ = c.Close() }()
		for k := range 3 {
			rnd := rand.New(rand.NewPCG(o.Seed, uint64(100+10*i+k)))
			g.Go(func() { tb.runFlows(ctx, c, services[k%len(services)], rnd) })
		}
		if i == 0 {
			g.Go(func() { tb.checkRoutes(ctx, c) })
		}
	}
	tb.inject(ctx)
	tb.checkRecovery(ctx)
	cancel()
	g.Wait()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.report, nil
}

// newClient starts client n. Odd and even numbers belong to different data
// centres.
func (tb *testbed) newClient(n byte) (*opaq.Client, error) {
	dc := dataCentre(int(n))
	at := netip.AddrPortFrom(tb.addr(2, n), tb.ports.packets)
	return opaq.NewClient(at, func(f packet.FlowID) netip.AddrPort { return tb.chooseBalancer(dc, f) })
}

func (tb *testbed) awaitReady(ctx context.Context) error {
	end := time.Now().Add(startLimit)
	for time.Now().Before(end) {
		ready := 0
		for _, b := range tb.balancers {
			if b.inRotation() {
				ready++
			}
		}
		if ready == len(tb.balancers) {
			return nil
		}
		if !loop.Sleep(ctx, probeInterval/5) {
			return ctx.Err()
		}
	}
	return errors.Errorf("balancers not ready within %s; see the logs in %s", startLimit, tb.opts.Dir)
}

// runFlows opens flows to a service one after the other and sends requests on
// each, until ctx ends.
func (tb *testbed) runFlows(ctx context.Context, c *opaq.Client, s service, rnd *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		f, err := c.Open(ctx, s.address)
		if err != nil {
			if ctx.Err() == nil {
				tb.countRequest(false, "open: "+err.Error())
				loop.Sleep(ctx, 50*time.Millisecond)
			}
			// Otherwise the end of the run has cancelled the opening.
			continue
		}
		tb.checkService(s, f.Instance)
		for k := range 1 + rnd.IntN(8) {
			err := f.Echo(ctx, fmt.Appendf(nil, "%s %d.%d to instance %d", s.name, n, k, f.Instance), requestLimit)
			if ctx.Err() != nil {
				return
			}
			tb.countRequest(err == nil, outcome(err))
			if err != nil {
				tb.checkFlowEnd(f, err)
				break
			}
			loop.Sleep(ctx, pause(rnd))
			if u := tb.byID(f.Instance); u == nil || tb.isDraining(u) {
				// A draining instance closes its flows after the next answer.
				break
			}
		}
		f.Forget()
	}
}

// pause draws the time between two requests of a flow. Now and then it is long
// enough for the late answer of another instance to arrive, or for a restart of the
// flow's balancer, but below idleTimeout.
func pause(rnd *rand.Rand) time.Duration {
	if rnd.IntN(4) == 0 {
		return time.Duration(rnd.IntN(7000)) * time.Millisecond
	}
	return time.Duration(rnd.IntN(300)) * time.Millisecond
}

func (tb *testbed) isDraining(u *instance) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return !u.drainStarted.IsZero()
}

func outcome(err error) string {
	if err == nil {
		return "answered"
	}
	return "request: " + err.Error()
}

func (tb *testbed) countRequest(ok bool, what string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if ok {
		tb.report.Served[what]++
	} else {
		tb.report.Failed[what]++
	}
}
