// Package load runs load tests: it puts an example deployment under load,
// carries out the steps of a scenario, and reports the metrics and the
// invariants.
package load

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"egretdock/io/emul/audit"
	"egretdock/io/emul/cases"
	"egretdock/io/emul/fabric"
	"egretdock/io/emul/script"
)

// Config describes one run.
type Config struct {
	Example cases.Example
	Script  script.Script
	Policy  Policy
	Seed    uint64
	// Faults are injected into the network between clients and balancers.
	Faults []fabric.Fault
	// NoToken keeps the clients from echoing route tokens.
	NoToken bool
	// Timeline receives the events of the run; may be nil.
	Timeline io.Writer
	// Progress is called about every five seconds with the time since the
	// start; may be nil.
	Progress func(time.Duration)
}

const progressInterval = 5 * time.Second

// Run deploys the example, runs the script under load, and returns the history.
func Run(ctx context.Context, cfg Config) (*audit.History, error) {
	tb, err := newTestbed(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	arrivals := script.Arrivals(cfg.Example, cfg.Script, cfg.Seed)
	start := time.Now()
	tb.recordPhases(start, cfg.Script)
	controlBefore, callsBefore := tb.fleet.GossipBytes(), tb.fleet.PlatformCalls()
	// The deadline ends a run whose calls do not end by themselves.
	ctx, cancel := context.WithDeadline(ctx, start.Add(cfg.Script.Length+finishTimeout))
	defer cancel()
	feedCtx, stop := context.WithCancel(ctx)
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	feedsDone := make(chan struct{})
	go func() { defer close(feedsDone); tb.runFeeds(feedCtx) }()
	g.Go(func() error { tb.runArrivals(gctx, start, arrivals); return nil })
	g.Go(func() error { return tb.runSteps(gctx, start, cfg.Script.Steps) })
	g.Go(func() error { reportProgress(gctx, start, cfg); return nil })
	err = g.Wait()
	tb.recordControlTraffic(controlBefore, time.Since(start))
	tb.record.update(func(h *audit.History) {
		h.PlatformCalls = float64(tb.fleet.PlatformCalls()-callsBefore) / time.Since(start).Seconds()
	})
	tb.retiring.Wait()
	if err == nil {
		// If this times out, the audit reports the edit that is not in force.
		awaitCtx, done := context.WithTimeout(ctx, audit.EditBound)
		_ = tb.fleet.AwaitRevision(awaitCtx, tb.fleet.Config().Revision)
		done()
	}
	stop()
	<-feedsDone
	tb.completeHistory(start.Add(cfg.Script.Length))
	return tb.record.history(&tb.fleet.Journal), err
}

// finishTimeout is the time after the end of the script in which the run must
// end. It covers the longest call timeout of the examples with its cancellation,
// and the wait for the last edit.
const finishTimeout = 8*time.Second + audit.EditBound

func reportProgress(ctx context.Context, start time.Time, cfg Config) {
	end := start.Add(cfg.Script.Length)
	for at := start.Add(progressInterval); at.Before(end) && sleepUntil(ctx, at); at = at.Add(progressInterval) {
		if cfg.Progress != nil {
			cfg.Progress(time.Since(start))
		}
	}
}

// warmUp is the start of a run, in which the feeds are opened. The steady phase
// leaves it out.
const warmUp = time.Second

// recordPhases records the start of the load and the planned phases.
func (tb *testbed) recordPhases(start time.Time, sc script.Script) {
	tb.started = start
	tb.record.update(func(h *audit.History) {
		h.Start = start
		steady := sc.Length
		for _, f := range sc.Floods {
			steady = min(steady, f.From)
			h.Phases = append(h.Phases, audit.Phase{Name: audit.PhaseFlood, From: start.Add(f.From), To: start.Add(f.To)})
		}
		h.Phases = append(h.Phases, audit.Phase{Name: audit.PhaseSteady, From: start.Add(warmUp), To: start.Add(steady)})
	})
}

// recordControlTraffic records the control traffic of each balancer since the
// counts in before, which were taken a time d ago.
func (tb *testbed) recordControlTraffic(before map[string]int64, d time.Duration) {
	after := tb.fleet.GossipBytes()
	tb.record.update(func(h *audit.History) {
		for name, n := range before {
			if m, ok := after[name]; ok {
				h.Control = append(h.Control, audit.ControlTraffic{Balancer: name, BytesPerSecond: float64(m-n) / d.Seconds()})
			}
		}
	})
}
