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

// testbed is a deployment with its clients and the record of what happens to it.
type testbed struct {
	example  cases.Example
	fleet    *fleet.Fleet
	record   *record
	timeline *timeline
	seed     uint64
	// links and clients have one entry for each customer name.
	links   map[string]*client.UDPLink
	clients map[string]*client.Client
	// started is when the load started.
	started        time.Time
	addedUpstreams int
	// retiring counts the balancers that have been asked to leave and still run.
	retiring sync.WaitGroup
}

func newTestbed(ctx context.Context, cfg Config) (*testbed, error) {
	tb := &testbed{
		example: cfg.Example, record: newRecord(), timeline: newTimeline(cfg.Timeline), seed: cfg.Seed,
		links: make(map[string]*client.UDPLink), clients: make(map[string]*client.Client),
	}
	opts := fleetOptions(cfg.Policy)
	opts.Events = tb.recordEvent
	var err error
	if tb.fleet, err = fleet.New(ctx, opts); err != nil {
		return nil, err
	}
	for _, sv := range cfg.Example.Services {
		for i := range sv.UpstreamCount {
			tb.record.h.Upstreams[cases.UpstreamName(sv.Template.Name, i+1)] = sv.Template.Name
		}
	}
	if err := tb.fleet.Deploy(ctx, cfg.Example, cfg.Seed); err != nil {
		tb.fleet.Close()
		return nil, err
	}
	for i, name := range tb.fleet.Balancers() {
		tb.recordBalancerStart(name, cfg.Example.DataCentres[i%len(cfg.Example.DataCentres)])
	}
	if err := tb.dialClients(cfg); err != nil {
		tb.close()
		return nil, err
	}
	return tb, nil
}

func (tb *testbed) dialClients(cfg Config) error {
	for i, u := range cfg.Example.Customers {
		seed := cfg.Seed + uint64(i)
		udp, err := client.DialUDP(tb.fleet.Entry(), seed)
		if err != nil {
			return err
		}
		var link client.Link = udp
		if len(cfg.Faults) > 0 {
			link = fabric.Wrap(udp, seed, cfg.Faults...)
		}
		tb.links[u.Name] = udp
		tb.clients[u.Name] = client.New(link, client.Options{Seed: seed, NoToken: cfg.NoToken})
	}
	return nil
}

func (tb *testbed) close() {
	for _, c := range tb.clients {
		_ = c.Close()
	}
	tb.fleet.Close()
}

func (tb *testbed) recordEvent(balancer string, e *effect.Event) {
	tb.timeline.event(balancer, *e)
	if e.Name == "config_in_force" {
		f := audit.InForce{Balancer: balancer, Revision: e.Revision, At: time.Now()}
		tb.record.update(func(h *audit.History) { h.InForce = append(h.InForce, f) })
	}
}

func (tb *testbed) recordBalancerStart(balancer, dataCentre string) {
	l := audit.Life{Balancer: balancer, DataCentre: dataCentre, From: time.Now()}
	tb.record.update(func(h *audit.History) { h.Balancers = append(h.Balancers, l) })
}

func (tb *testbed) recordBalancerEnd(balancer string) {
	tb.record.update(func(h *audit.History) {
		for i := range h.Balancers {
			if h.Balancers[i].Balancer == balancer {
				h.Balancers[i].To = time.Now()
			}
		}
	})
}

// updateBalancerLists tells the fabric which balancers there are.
func (tb *testbed) updateBalancerLists() {
	for _, l := range tb.links {
		l.SetBalancers(tb.fleet.Entry())
	}
}

// applyConfig puts a configuration in force and records the edit.
func (tb *testbed) applyConfig(ctx context.Context, cfg model.Config) error {
	cfg = cfg.WithRevision(tb.fleet.Config().Revision + 1)
	began := time.Now()
	revision, err := tb.fleet.Configure(ctx, cfg)
	if err != nil {
		return err
	}
	// The time from the operator's command counts, so that it is never too short.
	e := audit.Edit{Revision: revision, Accepted: began}
	tb.record.update(func(h *audit.History) { h.Edits = append(h.Edits, e) })
	return nil
}

// completeHistory fills in what is known only at the end of a run.
func (tb *testbed) completeHistory(end time.Time) {
	tb.record.update(func(h *audit.History) {
		h.End = end
		for i, f := range h.Faults {
			if d, ok := f.(audit.Drained); ok && d.Until.IsZero() {
				d.LastWork = tb.fleet.Journal.LastNewWork(d.Upstream)
				h.Faults[i] = d
			}
		}
	})
}

// sleepUntil waits until a time and reports false when ctx ends first.
func sleepUntil(ctx context.Context, until time.Time) bool {
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
