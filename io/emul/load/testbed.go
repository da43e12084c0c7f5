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

// testbed is a running deployment with its clients and the record of the run.
type testbed struct {
	example  cases.Example
	fleet    *fleet.Fleet
	record   *record
	timeline *timeline
	seed     uint64
	// links and clients are keyed by customer name.
	links   map[string]*client.UDPLink
	clients map[string]*client.Client
	// started is when the load started.
	started time.Time
	// addedUpstreams counts the upstreams that steps added.
	addedUpstreams int
	// retiring waits for the graceful shutdown of balancers.
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

// dialClients creates one client for each customer.
func (tb *testbed) dialClients(cfg Config) error {
	for i, u := range cfg.Example.Customers {
		seed := cfg.Seed + uint64(i)
		udp, err := client.DialUDP(tb.fleet.ClientAddrs(), seed)
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

// recordEvent writes an event of a balancer to the timeline, and records when a
// configuration is in force.
func (tb *testbed) recordEvent(balancer string, e *effect.Event) {
	tb.timeline.event(balancer, *e)
	if e.Name == "config_in_force" {
		f := audit.InForce{Balancer: balancer, Revision: e.Revision, At: time.Now()}
		tb.record.update(func(h *audit.History) { h.InForce = append(h.InForce, f) })
	}
}

func (tb *testbed) recordBalancerStart(balancer, dataCentre string) {
	l := audit.Lifetime{Balancer: balancer, DataCentre: dataCentre, From: time.Now()}
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

// updateBalancerLists gives the clients' links the addresses of the live
// balancers. While none is live, the clients keep sending to those of before.
func (tb *testbed) updateBalancerLists() {
	live := tb.fleet.ClientAddrs()
	if len(live) == 0 {
		return
	}
	for _, l := range tb.links {
		if err := l.SetBalancers(live); err != nil {
			panic("load: " + err.Error())
		}
	}
}

// applyConfig distributes a configuration under the next revision and records
// the edit.
func (tb *testbed) applyConfig(ctx context.Context, cfg model.Config) error {
	cfg = cfg.WithRevision(tb.fleet.Config().Revision + 1)
	started := time.Now()
	revision, err := tb.fleet.Configure(ctx, cfg)
	if err != nil {
		return err
	}
	// The edit counts from the start of the operator's command, so that the
	// measured time is never too short.
	e := audit.Edit{Revision: revision, Accepted: started}
	tb.record.update(func(h *audit.History) { h.Edits = append(h.Edits, e) })
	return nil
}

// completeHistory records the end of the run and the last new work of the
// upstreams that are still draining.
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

// sleepUntil waits until a time. It returns false if ctx ends first.
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
