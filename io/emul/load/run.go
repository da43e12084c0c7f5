// Package load runs an example deployment under load, does to it what a
// scenario says, and reports the measures and the invariants.
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

// Config is one run.
type Config struct {
	Example cases.Example
	Script  script.Script
	Policy  Policy
	Seed    uint64
	// Faults are those of the network between clients and balancers.
	Faults []fabric.Fault
	// NoToken makes the clients echo no route token.
	NoToken bool
	// Timeline receives the events of the run; may be nil.
	Timeline io.Writer
	// Progress is called about every five seconds with the time since the
	// start; may be nil.
	Progress func(time.Duration)
}

// progressEvery is the interval of progress reports.
const progressEvery = 5 * time.Second

// Run deploys the example, does the script under load, and returns the history.
func Run(ctx context.Context, cfg Config) (*audit.History, error) {
	s, err := newStage(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer s.close()
	arrivals := script.Arrivals(cfg.Example, cfg.Script, cfg.Seed)
	start := time.Now()
	s.begin(start, cfg.Script)
	control, calls := s.fleet.Control(), s.fleet.PlatformCalls()
	// The bound ends a run whose calls do not end by themselves.
	ctx, cancel := context.WithDeadline(ctx, start.Add(cfg.Script.Length+drainTime))
	defer cancel()
	open, stop := context.WithCancel(ctx)
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	feeds := make(chan struct{})
	go func() { defer close(feeds); s.feeds(open) }()
	g.Go(func() error { s.drive(gctx, start, arrivals); return nil })
	g.Go(func() error { return s.run(gctx, start, cfg.Script.Steps) })
	g.Go(func() error { progress(gctx, start, cfg); return nil })
	err = g.Wait()
	s.control(control, time.Since(start))
	s.rec.update(func(h *audit.History) {
		h.PlatformCalls = float64(s.fleet.PlatformCalls()-calls) / time.Since(start).Seconds()
	})
	s.leaving.Wait()
	if err == nil {
		// An edit that is not in force by now is reported by the audit.
		await, done := context.WithTimeout(ctx, audit.EditBound)
		_ = s.fleet.AwaitRevision(await, s.fleet.Config().Revision)
		done()
	}
	stop()
	<-feeds
	s.finish(start.Add(cfg.Script.Length))
	return s.rec.history(&s.fleet.Journal), err
}

// drainTime is the time after the last arrival in which calls must end: the
// longest timeout of the examples with the time of a cancellation, and the
// time for which edits are awaited.
const drainTime = 8*time.Second + audit.EditBound

func progress(ctx context.Context, start time.Time, cfg Config) {
	end := start.Add(cfg.Script.Length)
	for at := start.Add(progressEvery); at.Before(end) && wait(ctx, at); at = at.Add(progressEvery) {
		if cfg.Progress != nil {
			cfg.Progress(time.Since(start))
		}
	}
}

// warmUp is left out of the steady phase: feeds open in it.
const warmUp = time.Second

// begin records the start and the planned phases.
func (s *stage) begin(start time.Time, sc script.Script) {
	s.began = start
	s.rec.update(func(h *audit.History) {
		h.Start = start
		steady := sc.Length
		for _, f := range sc.Floods {
			steady = min(steady, f.From)
			h.Phases = append(h.Phases, audit.Phase{Name: audit.PhaseFlood, From: start.Add(f.From), To: start.Add(f.To)})
		}
		h.Phases = append(h.Phases, audit.Phase{Name: audit.PhaseSteady, From: start.Add(warmUp), To: start.Add(steady)})
	})
}

// control records the control traffic since an earlier count.
func (s *stage) control(before map[string]int64, d time.Duration) {
	after := s.fleet.Control()
	s.rec.update(func(h *audit.History) {
		for name, n := range before {
			if m, ok := after[name]; ok {
				h.Control = append(h.Control, audit.Control{Balancer: name, BytesPerSecond: float64(m-n) / d.Seconds()})
			}
		}
	})
}
