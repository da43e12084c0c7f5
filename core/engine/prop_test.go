package engine_test

import (
	"flag"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// TestMain fixes the seed, so that each run of the tests checks the same
// sequences; -rapid.seed selects others.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	if f := flag.Lookup("rapid.shrinktime"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("2s")
	}
	os.Exit(m.Run())
}

// faultRun is a run of random actions and faults. After each action the
// invariants are checked against what the upstreams did.
type faultRun struct {
	*memFrontEnd
	flows []*memFlow
	// lastRequest is the last request identifier of each flow.
	lastRequest map[uint64]uint64
	// lostFlows holds the flows whose upstream restarted.
	lostFlows map[uint64]bool
	added     int
}

func (c *faultRun) balancer(t *rapid.T) int {
	i := rapid.IntRange(0, len(c.balancers)-1).Draw(t, "balancer")
	if c.balancers[i].dead {
		return c.otherLive(i)
	}
	return i
}

func (c *faultRun) anyFlow(t *rapid.T) *memFlow {
	if len(c.flows) == 0 {
		t.Skip("no flow")
	}
	return c.flows[rapid.IntRange(0, len(c.flows)-1).Draw(t, "flow")]
}

func (c *faultRun) open(t *rapid.T) {
	f := c.flow(rapid.SampledFrom([]netip.AddrPort{orderAddr, feedAddr, planAddr}).Draw(t, "class"))
	f.noToken = rapid.Bool().Draw(t, "no token")
	f.send(c.balancer(t), &packet.Open{Attempt: 1, Timeout: time.Second})
	for _, p := range c.inbox[f.id] {
		if _, ok := p.Body.(*packet.Accept); ok && f.handshake == 0 {
			f.route, f.handshake = p.Route, p.Handshake
			c.flows = append(c.flows, f)
		}
	}
}

// request sends copies of one request through different balancers, some of
// them late.
func (c *faultRun) request(t *rapid.T) {
	f := c.anyFlow(t)
	c.lastRequest[f.id]++
	id := c.lastRequest[f.id]
	for n := range rapid.IntRange(1, 4).Draw(t, "copies") {
		f.send(c.balancer(t), &packet.Request{ID: id, Attempt: uint32(n + 1), Timeout: time.Second, Payload: fmt.Append(nil, id)})
	}
	if rapid.Bool().Draw(t, "cancel") {
		f.send(c.balancer(t), &packet.Cancel{ID: id, Attempt: 9, Reason: packet.ReasonCancelled})
	}
}

// repeat sends a late copy of an earlier request.
func (c *faultRun) repeat(t *rapid.T) {
	f := c.anyFlow(t)
	if c.lastRequest[f.id] == 0 {
		t.Skip("no request")
	}
	id := rapid.Uint64Range(1, c.lastRequest[f.id]).Draw(t, "request")
	f.send(c.balancer(t), &packet.Request{ID: id, Attempt: 7, Timeout: time.Second, Payload: fmt.Append(nil, id)})
}

func (c *faultRun) finish(*rapid.T) {
	for _, u := range c.upstreamsByName() {
		c.memFrontEnd.finish(u)
	}
}

// upstreamsByName returns the upstreams in order of name, so that a seed always
// gives the same run.
func (c *faultRun) upstreamsByName() []*memUpstream {
	return slices.SortedFunc(maps.Values(c.upstreams), func(a, b *memUpstream) int { return strings.Compare(a.Name, b.Name) })
}

func (c *faultRun) edit(t *rapid.T) {
	cfg := c.config()
	p, _ := cfg.Params("north")
	c.added++
	u := c.addUpstream(fmt.Sprintf("w%03d", c.added), uint16(40000+c.added), orderAddr.Addr())
	if len(p.Upstreams) > 1 {
		gone := rapid.IntRange(0, len(p.Upstreams)-1).Draw(t, "removed")
		p = p.WithoutUpstream(p.Upstreams[gone].Name)
	}
	c.configureUnevenly(t, cfg.WithParams(p.WithUpstream(u)).WithRevision(cfg.Revision+1))
}

// configureUnevenly delivers a configuration to all balancers but one, runs a
// request, and then delivers it to the last.
func (c *faultRun) configureUnevenly(t *rapid.T, cfg model.Config) {
	late := rapid.IntRange(0, len(c.balancers)-1).Draw(t, "late")
	for i, b := range c.balancers {
		if i != late {
			c.handle(b, &input.ConfigReceived{Config: cfg})
		}
	}
	if len(c.flows) > 0 {
		c.request(t)
	}
	c.handle(c.balancers[late], &input.ConfigReceived{Config: cfg})
}

func (c *faultRun) drain(t *rapid.T) {
	for _, u := range c.upstreamsByName() {
		u.draining = rapid.IntRange(0, 5).Draw(t, "drain") == 0
	}
}

func (c *faultRun) restart(t *rapid.T) {
	f := c.anyFlow(t)
	u := f.upstream()
	for _, g := range c.flows {
		c.lostFlows[g.id] = c.lostFlows[g.id] || g.route.Endpoint == u.Endpoint
	}
	u.restart()
}

// partition cuts the network between two groups of balancers for a while.
func (c *faultRun) partition(t *rapid.T) {
	half := make(map[netip.AddrPort]bool)
	for _, b := range c.balancers {
		half[b.Self.Peer] = rapid.Bool().Draw(t, "side")
	}
	c.isCut = func(from, to netip.AddrPort) bool { return half[from] != half[to] }
	c.advance(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 6 * time.Second}).Draw(t, "for"))
	c.request(t)
	c.isCut = nil
}

func (c *faultRun) killOne(t *rapid.T) {
	i := c.balancer(t)
	live := 0
	for _, b := range c.balancers {
		if !b.dead {
			live++
		}
	}
	if live < 3 {
		t.Skip("too few balancers")
	}
	c.balancers[i].dead = true
}

func (c *faultRun) checkInvariants(t *rapid.T) {
	for _, f := range c.flows {
		c.checkResets(t, f)
		for id := uint64(1); id <= c.lastRequest[f.id]; id++ {
			c.checkRequest(t, f, id)
		}
	}
	for _, u := range c.upstreams {
		if u.misrouted > 0 {
			t.Fatalf("no_misroute: upstream %s got %d packets of another service", u.Name, u.misrouted)
		}
	}
}

func (c *faultRun) checkResets(t *rapid.T, f *memFlow) {
	if c.lostFlows[f.id] {
		return
	}
	for _, p := range c.inbox[f.id] {
		if b, ok := p.Body.(*packet.Reset); ok {
			t.Fatalf("flow_survives: flow %d (no token %v) was reset (%s) although %s holds it", f.id, f.noToken, b.Reason, f.upstream().Name)
		}
	}
}

func (c *faultRun) checkRequest(t *rapid.T, f *memFlow, id uint64) {
	runs := 0
	for _, u := range c.upstreams {
		runs += u.runs[fmt.Sprintf("%d/%d", f.id, id)]
	}
	if runs > 1 {
		t.Fatalf("at_most_once: request %d of flow %d ran %d times", id, f.id, runs)
	}
	for _, p := range c.inbox[f.id] {
		switch b := p.Body.(type) {
		case *packet.Refuse:
			if b.ID == id && runs > 0 {
				t.Fatalf("not_run_true: request %d of flow %d was refused (%s) and ran", id, f.id, b.Reason)
			}
		case *packet.Answer:
			if b.ID == id && (runs != 1 || string(b.Payload) != fmt.Sprint(id)) {
				t.Fatalf("whole_answer: request %d of flow %d ran %d times and was answered %q", id, f.id, runs, b.Payload)
			}
		default:
		}
	}
}

// checkSurvival checks that every flow whose upstream did not restart is still
// served.
func (c *faultRun) checkSurvival(t *rapid.T) {
	c.isCut = nil
	c.converge()
	for _, f := range c.flows {
		if c.lostFlows[f.id] {
			continue
		}
		before := len(c.inbox[f.id])
		f.send(c.balancer(t), &packet.Data{Seq: 1})
		got := c.inbox[f.id][before:]
		if len(got) == 0 {
			t.Fatalf("flow_survives: flow %d got no reply", f.id)
		}
		if _, ok := got[len(got)-1].Body.(*packet.Ack); !ok {
			t.Fatalf("flow_survives: flow %d (no token %v, upstream %s) got %#v", f.id, f.noToken, f.upstream().Name, got[len(got)-1].Body)
		}
	}
}

// Guards the invariants against random sequences of faults: copies through
// balancers with different configurations and members, uneven edits, drains,
// restarts, crashes and partitions.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &faultRun{memFrontEnd: newMemFrontEnd(t, 4, 4), lastRequest: make(map[uint64]uint64), lostFlows: make(map[uint64]bool)}
		rt.Repeat(map[string]func(*rapid.T){
			"open":    c.open,
			"open2":   c.open,
			"request": c.request,
			"repeat":  c.repeat,
			"finish":  c.finish,
			"edit":    c.edit,
			"drain":   c.drain,
			"restart": c.restart,
			"divide":  c.partition,
			"die":     c.killOne,
			"wait":    func(*rapid.T) { c.advance(time.Second) },
			"":        c.checkInvariants,
		})
		c.checkSurvival(rt)
	})
}
