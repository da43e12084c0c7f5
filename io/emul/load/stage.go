package load

import (
	"context"
	"sync"
	"time"

	"egretdock/client"
	"egretdock/core/effect"
	"egretdock/core/model"
	"egretdock/io/emul/audit"
	"egretdock/io/emul/cases"
	"egretdock/io/emul/fabric"
	"egretdock/io/emul/fleet"
)

// stage is a deployment with its clients and the record of what happens to it.
type stage struct {
	c     cases.Example
	fleet *fleet.Fleet
	rec   *record
	line  *timeline
	seed  uint64
	// links and clients have one entry for each customer name.
	links   map[string]*client.UDPLink
	clients map[string]*client.Client
	// began is when the load started.
	began time.Time
	added int
	// leaving counts the balancers that have been asked to leave and still run.
	leaving sync.WaitGroup
}

func newStage(ctx context.Context, cfg Config) (*stage, error) {
	s := &stage{
		c: cfg.Example, rec: newRecord(), line: newTimeline(cfg.Timeline), seed: cfg.Seed,
		links: make(map[string]*client.UDPLink), clients: make(map[string]*client.Client),
	}
	opts := options(cfg.Policy)
	opts.Events = s.event
	var err error
	if s.fleet, err = fleet.New(ctx, opts); err != nil {
		return nil, err
	}
	for _, sv := range cfg.Example.Services {
		for i := range sv.UpstreamCount {
			s.rec.h.Upstreams[cases.UpstreamName(sv.Template.Name, i+1)] = sv.Template.Name
		}
	}
	if err := s.fleet.Deploy(ctx, cfg.Example, cfg.Seed); err != nil {
		s.fleet.Close()
		return nil, err
	}
	for i, name := range s.fleet.Balancers() {
		s.live(name, cfg.Example.DataCentres[i%len(cfg.Example.DataCentres)])
	}
	if err := s.dial(cfg); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *stage) dial(cfg Config) error {
	for i, u := range cfg.Example.Customers {
		seed := cfg.Seed + uint64(i)
		udp, err := client.DialUDP(s.fleet.Entry(), seed)
		if err != nil {
			return err
		}
		var link client.Link = udp
		if len(cfg.Faults) > 0 {
			link = fabric.Wrap(udp, seed, cfg.Faults...)
		}
		s.links[u.Name] = udp
		s.clients[u.Name] = client.New(link, client.Options{Seed: seed, NoToken: cfg.NoToken})
	}
	return nil
}

func (s *stage) close() {
	for _, c := range s.clients {
		_ = c.Close()
	}
	s.fleet.Close()
}

func (s *stage) event(balancer string, e *effect.Event) {
	s.line.event(balancer, *e)
	if e.Name == "config_in_force" {
		f := audit.InForce{Balancer: balancer, Revision: e.Revision, At: time.Now()}
		s.rec.update(func(h *audit.History) { h.InForce = append(h.InForce, f) })
	}
}

func (s *stage) live(balancer, dataCentre string) {
	l := audit.Life{Balancer: balancer, DataCentre: dataCentre, From: time.Now()}
	s.rec.update(func(h *audit.History) { h.Balancers = append(h.Balancers, l) })
}

func (s *stage) gone(balancer string) {
	s.rec.update(func(h *audit.History) {
		for i := range h.Balancers {
			if h.Balancers[i].Balancer == balancer {
				h.Balancers[i].To = time.Now()
			}
		}
	})
}

// relist tells the fabric which balancers there are.
func (s *stage) relist() {
	for _, l := range s.links {
		l.SetBalancers(s.fleet.Entry())
	}
}

// put puts a configuration in force and records the edit.
func (s *stage) put(ctx context.Context, cfg model.Config) error {
	cfg = cfg.WithRevision(s.fleet.Config().Revision + 1)
	began := time.Now()
	revision, err := s.fleet.Configure(ctx, cfg)
	if err != nil {
		return err
	}
	// The time from the operator's command counts, so that it is never too short.
	e := audit.Edit{Revision: revision, Accepted: began}
	s.rec.update(func(h *audit.History) { h.Edits = append(h.Edits, e) })
	return nil
}

// finish fills in what is known only at the end of a run.
func (s *stage) finish(end time.Time) {
	s.rec.update(func(h *audit.History) {
		h.End = end
		for i, f := range h.Faults {
			if d, ok := f.(audit.Drained); ok && d.Until.IsZero() {
				d.LastWork = s.fleet.Journal.LastNewWork(d.Upstream)
				h.Faults[i] = d
			}
		}
	})
}

// wait waits until a time and reports false when ctx ends first.
func wait(ctx context.Context, until time.Time) bool {
	d := time.Until(until)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
