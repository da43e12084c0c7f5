package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/io/emul/audit"
	"egretdock/io/emul/cases"
	"egretdock/io/emul/fleet"
	"egretdock/io/emul/script"
)

// runSteps carries out the steps of a script at their planned times.
func (tb *testbed) runSteps(ctx context.Context, start time.Time, steps []script.Timed) error {
	for _, t := range steps {
		if !sleepUntil(ctx, start.Add(t.At)) {
			return nil
		}
		tb.timeline.step(t.Step)
		if err := tb.runStep(ctx, t.Step); err != nil {
			return err
		}
	}
	return nil
}

// runStep carries out one step.
func (tb *testbed) runStep(ctx context.Context, step script.Step) error {
	switch st := step.(type) {
	case script.Edit:
		return tb.edit(ctx, st.Service)
	case script.Drain:
		tb.drain(cases.UpstreamName(st.Service, st.Index))
	case script.Undrain:
		tb.undrain(cases.UpstreamName(st.Service, st.Index))
	case script.Replace:
		return tb.replace(ctx, st)
	case script.Restart:
		name := cases.UpstreamName(st.Service, st.Index)
		tb.record.addFault(audit.Restarted{Upstream: name, At: time.Now()})
		tb.fleet.Upstream(name).Restart()
	case script.Shed:
		name := cases.UpstreamName(st.Service, st.Index)
		tb.recordDisturbance(name, "shedding", st.OneOf > 0)
		tb.fleet.Upstream(name).SetShedEvery(st.OneOf)
	case script.Lie:
		name := cases.UpstreamName(st.Service, st.Index)
		tb.recordDisturbance(name, "lying", st.On)
		tb.fleet.Upstream(name).SetFalseReport(st.On)
	case script.Kill:
		tb.record.addFault(audit.Killed{Balancer: st.Balancer, At: time.Now()})
		tb.fleet.KillBalancer(st.Balancer)
		tb.recordBalancerEnd(st.Balancer)
	case script.Retire:
		tb.retire(st.Balancer)
	case script.Add:
		return tb.add(st)
	case script.Notice:
		tb.fleet.PushHosts()
		tb.updateBalancerLists()
	case script.Outage:
		tb.fleet.SetPlatformDown(st.On)
	case script.Race:
		return tb.raceEdits(ctx, st)
	case script.Cut:
		tb.record.addFault(audit.Cut{DataCentres: st.DataCentres, At: time.Now()})
		tb.fleet.Partition(st.DataCentres...)
	case script.Heal:
		tb.heal()
	}
	return nil
}

// edit changes the queue limit of a template's first class, alternating between
// two values.
func (tb *testbed) edit(ctx context.Context, service string) error {
	cfg := tb.fleet.Config()
	t, ok := cfg.Template(service)
	if !ok || len(t.Classes) == 0 {
		return nil
	}
	c := t.Classes[0]
	if c.QueueLimit == model.DefaultQueueLimit {
		c.QueueLimit = model.DefaultQueueLimit - 1
	} else {
		c.QueueLimit = model.DefaultQueueLimit
	}
	return tb.applyConfig(ctx, cfg.WithTemplate(t.WithClass(c)))
}

// raceEdits lets operators edit the same template at the same time, all based on
// the same revision. One edit is expected to be accepted, and the others to fail
// with a conflict.
func (tb *testbed) raceEdits(ctx context.Context, r script.Race) error {
	cfg := tb.fleet.Config()
	t, ok := cfg.Template(r.Service)
	if !ok || len(t.Classes) == 0 {
		return nil
	}
	started := time.Now()
	results := make([]fleet.EditResult, r.Operators)
	var wg sync.WaitGroup
	for i := range results {
		c := t.Classes[0]
		c.QueueLimit = model.DefaultQueueLimit + 1 + i
		wg.Go(func() { results[i] = tb.fleet.EditAs(ctx, fmt.Sprintf("operator-%d", i), cfg.Revision, t.WithClass(c)) })
	}
	wg.Wait()
	tb.record.update(func(h *audit.History) {
		h.Races = append(h.Races, countRaceResults(results))
		for _, e := range results {
			if e.Err == nil {
				h.Edits = append(h.Edits, audit.Edit{Revision: e.Revision, Accepted: started})
			}
		}
	})
	return nil
}

// countRaceResults counts the outcomes of simultaneous edits of one object.
func countRaceResults(results []fleet.EditResult) audit.Race {
	var r audit.Race
	for _, e := range results {
		switch {
		case e.Err == nil:
			r.Accepted++
		case fault.KindOf(e.Err) == fault.KindConflict:
			r.Conflicts++
		default:
			r.Others++
		}
	}
	return r
}

func (tb *testbed) drain(name string) {
	tb.record.addFault(audit.Drained{Upstream: name, At: time.Now()})
	tb.fleet.Upstream(name).SetDraining(true)
}

func (tb *testbed) undrain(name string) {
	last := tb.fleet.Journal.LastNewWork(name)
	tb.record.replaceLastFault(func(f audit.Fault) (audit.Fault, bool) {
		d, ok := f.(audit.Drained)
		if !ok || d.Upstream != name || !d.Until.IsZero() {
			return nil, false
		}
		d.LastWork, d.Until = last, time.Now()
		return d, true
	})
	tb.fleet.Upstream(name).SetDraining(false)
}

// recordDisturbance records the start or the end of an upstream's misbehaviour.
func (tb *testbed) recordDisturbance(name, how string, on bool) {
	if on {
		tb.record.addFault(audit.Impaired{Upstream: name, How: how, At: time.Now()})
		return
	}
	tb.record.replaceLastFault(func(f audit.Fault) (audit.Fault, bool) {
		d, ok := f.(audit.Impaired)
		if !ok || d.Upstream != name || d.How != how || !d.Until.IsZero() {
			return nil, false
		}
		d.Until = time.Now()
		return d, true
	})
}

// replace adds an upstream, removes the old one from the configuration and
// drains it, as a rolling change does.
func (tb *testbed) replace(ctx context.Context, st script.Replace) error {
	sv, ok := tb.example.Service(st.Service)
	if !ok {
		return nil
	}
	old := cases.UpstreamName(st.Service, st.Index)
	tb.addedUpstreams++
	name := fmt.Sprintf("%s_r%d", old, tb.addedUpstreams)
	dc := tb.example.DataCentres[(st.Index-1)%len(tb.example.DataCentres)]
	u, err := tb.fleet.AddCaseUpstream(tb.example, sv, dc, name, tb.seed+uint64(1000+tb.addedUpstreams))
	if err != nil {
		return err
	}
	// The audit leaves the new upstream out of the imbalance until then, because
	// it gets its full share of the load only after its slow start.
	now := time.Now()
	tb.record.addFault(audit.Impaired{Upstream: name, How: "added", At: tb.started, Until: now.Add(script.LossDetectionDelay)})
	tb.record.update(func(h *audit.History) { h.Upstreams[name] = st.Service })
	cfg := tb.fleet.Config()
	for _, c := range tb.example.CustomersOf(st.Service) {
		if p, ok := cfg.Params(c.Name); ok {
			cfg = withRelease(cfg, p, old).WithParams(p.WithUpstream(u).WithoutUpstream(old))
		}
	}
	if err := tb.applyConfig(ctx, cfg); err != nil {
		return err
	}
	tb.drain(old)
	return nil
}

// withRelease returns cfg with the release of an upstream that is removed from
// its service, as an accepted edit records it.
func withRelease(cfg model.Config, p model.Params, upstream string) model.Config {
	for _, u := range p.Upstreams {
		if u.Name == upstream {
			cfg = cfg.WithRelease(u.Endpoint, model.Release{Holder: p.Template, Revision: cfg.Revision + 1})
		}
	}
	return cfg
}

// retire starts the graceful shutdown of a balancer and does not wait for its
// end.
func (tb *testbed) retire(name string) {
	at := time.Now()
	wait := tb.fleet.RetireBalancer(name)
	tb.updateBalancerLists()
	tb.retiring.Add(1)
	go func() {
		defer tb.retiring.Done()
		wait()
		tb.recordBalancerEnd(name)
		tb.record.addFault(audit.Retired{Balancer: name, At: at, Ended: time.Now()})
	}()
}

func (tb *testbed) add(st script.Add) error {
	tb.recordBalancerStart(st.Balancer, st.DataCentre)
	if err := tb.fleet.AddBalancer(st.Balancer, st.DataCentre); err != nil {
		return err
	}
	tb.updateBalancerLists()
	return nil
}

func (tb *testbed) heal() {
	tb.record.replaceLastFault(func(f audit.Fault) (audit.Fault, bool) {
		c, ok := f.(audit.Cut)
		if !ok || !c.Healed.IsZero() {
			return nil, false
		}
		c.Healed = time.Now()
		return c, true
	})
	tb.fleet.Heal()
}
