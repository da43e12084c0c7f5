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

// runSteps does the steps of a script at their times.
func (s *testbed) runSteps(ctx context.Context, start time.Time, steps []script.Timed) error {
	for _, t := range steps {
		if !sleepUntil(ctx, start.Add(t.At)) {
			return nil
		}
		s.timeline.step(t.Step)
		if err := s.runStep(ctx, t.Step); err != nil {
			return err
		}
	}
	return nil
}

// runStep carries out one step.
func (s *testbed) runStep(ctx context.Context, step script.Step) error {
	switch st := step.(type) {
	case script.Edit:
		return s.edit(ctx, st.Service)
	case script.Drain:
		s.drain(cases.UpstreamName(st.Service, st.Index))
	case script.Undrain:
		s.undrain(cases.UpstreamName(st.Service, st.Index))
	case script.Replace:
		return s.replace(ctx, st)
	case script.Restart:
		name := cases.UpstreamName(st.Service, st.Index)
		s.record.addFault(audit.Restarted{Upstream: name, At: time.Now()})
		s.fleet.Upstream(name).Restart()
	case script.Shed:
		name := cases.UpstreamName(st.Service, st.Index)
		s.recordDisturbance(name, "shedding", st.OneOf > 0)
		s.fleet.Upstream(name).Shed(st.OneOf)
	case script.Lie:
		name := cases.UpstreamName(st.Service, st.Index)
		s.recordDisturbance(name, "lying", st.On)
		s.fleet.Upstream(name).Lie(st.On)
	case script.Kill:
		s.record.addFault(audit.Killed{Balancer: st.Balancer, At: time.Now()})
		s.fleet.KillBalancer(st.Balancer)
		s.recordBalancerEnd(st.Balancer)
	case script.Retire:
		s.retire(st.Balancer)
	case script.Add:
		return s.add(st)
	case script.Notice:
		s.fleet.Announce()
		s.updateBalancerLists()
	case script.Outage:
		s.fleet.Outage(st.On)
	case script.Race:
		return s.raceEdits(ctx, st)
	case script.Cut:
		s.record.addFault(audit.Cut{DataCentres: st.DataCentres, At: time.Now()})
		s.fleet.Partition(st.DataCentres...)
	case script.Heal:
		s.heal()
	}
	return nil
}

// edit alternates the queue limit of a template's first class between two
// values.
func (s *testbed) edit(ctx context.Context, service string) error {
	cfg := s.fleet.Config()
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
	return s.applyConfig(ctx, cfg.WithTemplate(t.WithClass(c)))
}

// raceEdits lets operators edit the same template at the same time, all from the
// revision that they read before. The edit of one of them is accepted, the
// others must get a conflict.
func (s *testbed) raceEdits(ctx context.Context, r script.Race) error {
	cfg := s.fleet.Config()
	t, ok := cfg.Template(r.Service)
	if !ok || len(t.Classes) == 0 {
		return nil
	}
	began := time.Now()
	results := make([]fleet.Edited, r.Operators)
	var wg sync.WaitGroup
	for i := range results {
		c := t.Classes[0]
		c.QueueLimit = model.DefaultQueueLimit + 1 + i
		wg.Go(func() { results[i] = s.fleet.EditAs(ctx, fmt.Sprintf("operator-%d", i), cfg.Revision, t.WithClass(c)) })
	}
	wg.Wait()
	s.record.update(func(h *audit.History) {
		h.Races = append(h.Races, countRaceResults(results))
		for _, e := range results {
			if e.Err == nil {
				h.Edits = append(h.Edits, audit.Edit{Revision: e.Revision, Accepted: began})
			}
		}
	})
	return nil
}

// countRaceResults counts the outcomes of operators that edit one object at once.
func countRaceResults(results []fleet.Edited) audit.Race {
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

func (s *testbed) drain(name string) {
	s.record.addFault(audit.Drained{Upstream: name, At: time.Now()})
	s.fleet.Upstream(name).Drain(true)
}

func (s *testbed) undrain(name string) {
	last := s.fleet.Journal.LastNewWork(name)
	s.record.replaceLastFault(func(f audit.Fault) (audit.Fault, bool) {
		d, ok := f.(audit.Drained)
		if !ok || d.Upstream != name || !d.Until.IsZero() {
			return nil, false
		}
		d.LastWork, d.Until = last, time.Now()
		return d, true
	})
	s.fleet.Upstream(name).Drain(false)
}

func (s *testbed) recordDisturbance(name, how string, on bool) {
	if on {
		s.record.addFault(audit.Disturbed{Upstream: name, How: how, At: time.Now()})
		return
	}
	s.record.replaceLastFault(func(f audit.Fault) (audit.Fault, bool) {
		d, ok := f.(audit.Disturbed)
		if !ok || d.Upstream != name || d.How != how || !d.Until.IsZero() {
			return nil, false
		}
		d.Until = time.Now()
		return d, true
	})
}

// replace adds an upstream, takes the old one out of the configuration and
// drains it, as a rolling change does.
func (s *testbed) replace(ctx context.Context, st script.Replace) error {
	sv, ok := s.example.Service(st.Service)
	if !ok {
		return nil
	}
	old := cases.UpstreamName(st.Service, st.Index)
	s.addedUpstreams++
	name := fmt.Sprintf("%s_r%d", old, s.addedUpstreams)
	dc := s.example.DataCentres[(st.Index-1)%len(s.example.DataCentres)]
	u, err := s.fleet.AddCaseUpstream(s.example, sv, dc, name, s.seed+uint64(1000+s.addedUpstreams))
	if err != nil {
		return err
	}
	// The new upstream has its share only after its slow start.
	now := time.Now()
	s.record.addFault(audit.Disturbed{Upstream: name, How: "added", At: s.started, Until: now.Add(script.LossDetectionDelay)})
	s.record.update(func(h *audit.History) { h.Upstreams[name] = st.Service })
	cfg := s.fleet.Config()
	for _, c := range s.example.CustomersOf(st.Service) {
		if p, ok := cfg.Params(c.Name); ok {
			cfg = withRelease(cfg, p, old).WithParams(p.WithUpstream(u).WithoutUpstream(old))
		}
	}
	if err := s.applyConfig(ctx, cfg); err != nil {
		return err
	}
	s.drain(old)
	return nil
}

// withRelease records that an upstream leaves its service, as an accepted edit
// does.
func withRelease(cfg model.Config, p model.Params, upstream string) model.Config {
	for _, u := range p.Upstreams {
		if u.Name == upstream {
			cfg = cfg.WithRelease(u.Endpoint, model.Release{Holder: p.Template, Revision: cfg.Revision + 1})
		}
	}
	return cfg
}

// retire lets a balancer leave while the script goes on.
func (s *testbed) retire(name string) {
	at := time.Now()
	wait := s.fleet.RetireBalancer(name)
	s.updateBalancerLists()
	s.retiring.Add(1)
	go func() {
		defer s.retiring.Done()
		wait()
		s.recordBalancerEnd(name)
		s.record.addFault(audit.Retired{Balancer: name, At: at, Ended: time.Now()})
	}()
}

func (s *testbed) add(st script.Add) error {
	s.recordBalancerStart(st.Balancer, st.DataCentre)
	if err := s.fleet.AddBalancer(st.Balancer, st.DataCentre); err != nil {
		return err
	}
	s.updateBalancerLists()
	return nil
}

func (s *testbed) heal() {
	s.record.replaceLastFault(func(f audit.Fault) (audit.Fault, bool) {
		c, ok := f.(audit.Cut)
		if !ok || !c.Healed.IsZero() {
			return nil, false
		}
		c.Healed = time.Now()
		return c, true
	})
	s.fleet.Heal()
}
