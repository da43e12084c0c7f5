package engine_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/engine"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// kill stops a balancer and waits until the others have noticed.
func (m *memory) kill(i int) {
	m.t.Helper()
	m.balancers[i].dead = true
	m.converge()
}

// isolate cuts a balancer off from all others until they have removed it.
func (m *memory) isolate(i int) {
	m.t.Helper()
	self := m.balancers[i].Self.Peer
	m.cut = func(from, to netip.AddrPort) bool { return from == self || to == self }
	for range 60 {
		m.pass(time.Second)
		if m.balancers[m.other(i)].Tables.Members().Len() < len(m.balancers) {
			return
		}
	}
	m.t.Fatal("the others still see the isolated balancer after 60 s")
}

// addBalancer starts a further balancer and waits until all see it.
func (m *memory) addBalancer(dataCentre string) {
	m.t.Helper()
	cfg := m.config()
	i := len(m.balancers)
	b := &memBalancer{work: engine.NewWork(uint64(i))}
	b.Self = model.Balancer{
		Name: fmt.Sprintf("b%02d", i), DataCentre: dataCentre, Incarnation: 1,
		Peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(9000+i)),
	}
	m.balancers = append(m.balancers, b)
	m.hosts()
	m.give(b, &input.Configured{Config: cfg})
	m.converge()
}

// ownerOf returns the index of the balancer that owns the flow's upstream.
func (f *memFlow) ownerOf() int {
	f.m.t.Helper()
	members := f.m.balancers[f.m.other(-1)].Tables.Members()
	for i, b := range f.m.balancers {
		if o, ok := members.Owner(f.upstream().Upstream); ok && b.Self.Name == o.Name {
			return i
		}
	}
	f.m.t.Fatal("no owner")
	return 0
}

// other returns a live balancer that is not the given one.
func (m *memory) other(not int) int {
	for i, b := range m.balancers {
		if i != not && !b.dead {
			return i
		}
	}
	m.t.Fatal("no other balancer is live")
	return 0
}

// Guards against requests that are lost or run twice when the owner of their
// upstream dies.
func TestOwnerDies(t *testing.T) {
	t.Run("after forwarding", func(t *testing.T) {
		m := newMemory(t, 4, 4)
		f := m.flow(orderAddr).mustOpen(0)
		owner := f.ownerOf()
		at := m.other(owner)
		f.send(at, &packet.Request{ID: 1, Attempt: 1})
		m.kill(owner)
		f.send(at, &packet.Request{ID: 1, Attempt: 2})
		for _, r := range f.upstream().running {
			r.b = m.balancers[at]
		}
		wantRuns(t, m, f, 1, 1)
	})
	t.Run("two owners at once", func(t *testing.T) {
		m := newMemory(t, 4, 4)
		f := m.flow(orderAddr).mustOpen(0)
		owner := f.ownerOf()
		m.isolate(owner)
		f.send(owner, &packet.Request{ID: 1, Attempt: 1})
		f.send(m.other(owner), &packet.Request{ID: 1, Attempt: 2})
		wantRuns(t, m, f, 1, 1)
	})
}

// Guards against a false "not run": one balancer refuses a request while
// another has forwarded a copy.
func TestRefusalCoversAllCopies(t *testing.T) {
	m := newMemory(t, 2, 1)
	f := m.flow(orderAddr).mustOpen(0)
	owner := f.ownerOf()
	f.send(owner, &packet.Request{ID: 1, Attempt: 1})
	t.Run("cancel after a copy runs gets no refusal", func(t *testing.T) {
		f.send(m.other(owner), &packet.Cancel{ID: 1, Attempt: 2, Reason: packet.ReasonCancelled})
		if _, refused := f.last().(*packet.Refuse); refused {
			t.Errorf("client was told not run, but the request runs")
		}
		m.finish(f.upstream())
		wantBody[*packet.Answer](t, f)
	})
	t.Run("copy after a refusal does not run", func(t *testing.T) {
		f.send(owner, &packet.Cancel{ID: 2, Attempt: 1, Reason: packet.ReasonCancelled})
		wantBody[*packet.Refuse](t, f)
		f.send(m.other(owner), &packet.Request{ID: 2, Attempt: 1})
		wantRuns(t, m, f, 2, 0)
	})
}

// Guards against work that waits for ever at a balancer that lost ownership.
func TestQueuedWorkAfterOwnerChange(t *testing.T) {
	m := newMemory(t, 2, 1)
	u := upstreamNamed(m, "u000").Upstream
	for range 2 {
		f := m.flow(orderAddr).mustOpen(0)
		f.send(0, &packet.Request{ID: 1, Attempt: 1, Timeout: 9 * time.Second})
	}
	var queued []*memFlow
	for range 2 {
		f := m.flow(orderAddr)
		f.send(0, &packet.Open{Attempt: 1, Timeout: 9 * time.Second})
		queued = append(queued, f)
	}
	was, _ := m.balancers[0].Tables.Members().Owner(u)
	for now := was; now.Name == was.Name; now, _ = m.balancers[0].Tables.Members().Owner(u) {
		m.addBalancer("dc0")
	}
	m.pass(10 * time.Second)
	for i, f := range queued {
		if f.last() == nil {
			t.Errorf("opening %d got no reply after its deadline", i)
		}
	}
}

// Guards against packets that circle between balancers with different views
// of the members.
func TestRelaysEnd(t *testing.T) {
	m := newMemory(t, 2, 1)
	b := m.balancers[0]
	f := m.flow(orderAddr)
	r := input.Relay{
		Packet: packet.Packet{Header: packet.Header{Flow: f.id, Address: orderAddr}, Body: &packet.Open{Attempt: 1}},
		Target: upstreamNamed(m, "u000").Endpoint, Hops: input.MaxHops,
	}
	owner, _ := b.Tables.Members().Owner(upstreamNamed(m, "u000").Upstream)
	if owner.Name == b.Self.Name {
		b = m.balancers[1]
	}
	m.give(b, &input.FromPeer{Relay: r})
	m.settle()
	wantBody[*packet.Accept](t, f)
}

func upstreamNamed(m *memory, name string) *memUpstream {
	m.t.Helper()
	for _, u := range m.upstreams {
		if u.Name == name {
			return u
		}
	}
	m.t.Fatalf("no upstream %s", name)
	return nil
}

// Guards against a flow without a token that is lost when its upstream left
// the first place in the slot table.
func TestSearchAcrossGenerations(t *testing.T) {
	m := newMemory(t, 4, 4)
	f := m.flow(planAddr)
	f.noToken = true
	f.mustOpen(0)
	rollingReplace(m, 4)
	for i := range 4 {
		f.send(i, &packet.Data{Seq: 1})
		wantBody[*packet.Ack](t, f)
	}
	m.pass(time.Second)
	f.send(1, &packet.Request{ID: 1, Attempt: 1, Timeout: time.Second})
	m.finish(f.upstream())
	wantBody[*packet.Answer](t, f)
	wantRuns(t, m, f, 1, 1)
}

// Guards against a cached route that outlives the flow: packets would go to an
// upstream that has reset the flow until the route is idle.
func TestResetDropsCachedRoute(t *testing.T) {
	m := newMemory(t, 1, 4)
	f := m.flow(planAddr)
	f.noToken = true
	f.mustOpen(0)
	f.send(0, &packet.Data{Seq: 1})
	wantBody[*packet.Ack](t, f)
	f.upstream().restart()
	f.send(0, &packet.Data{Seq: 2})
	wantBody[*packet.Reset](t, f)
	if n := m.balancers[0].Tables.Flows.Len(holder()); n != 0 {
		t.Errorf("%d cached routes after the reset, want none", n)
	}
}

// Guards against an opening that is refused although another upstream would
// take it.
func TestOpeningTriesNextCandidate(t *testing.T) {
	for name, breakIt := range map[string]func(*memUpstream){
		"draining": func(u *memUpstream) { u.draining = true },
		"shedding": func(u *memUpstream) { u.shed = true },
	} {
		t.Run(name, func(t *testing.T) {
			m := newMemory(t, 4, 4)
			first := m.flow(orderAddr).mustOpen(0)
			breakIt(first.upstream())
			again := &memFlow{m: m, id: first.id + 1, address: orderAddr}
			for ; ; again.id++ {
				b, _ := m.balancers[0].Tables.View().Binding(orderAddr.Addr())
				c := b.Pool.PlacementCandidates(again.id)
				if c.At(0).Endpoint == first.route.Endpoint {
					break
				}
			}
			again.mustOpen(1)
			if again.route.Endpoint == first.route.Endpoint {
				t.Errorf("flow opened at the %s upstream", name)
			}
		})
	}
}

// Guards against a graceful exit that cuts a request or takes new work.
func TestLeavingBalancer(t *testing.T) {
	m := newMemory(t, 4, 4)
	f := m.flow(orderAddr).mustOpen(0)
	owner := f.ownerOf()
	f.send(owner, &packet.Request{ID: 1, Attempt: 1})
	m.give(m.balancers[owner], &input.Leave{})
	m.settle()
	m.pass(3 * time.Second)
	t.Run("owns nothing", func(t *testing.T) {
		for i, b := range m.balancers {
			if o, _ := b.Tables.Members().Owner(f.upstream().Upstream); o.Name == m.balancers[owner].Self.Name {
				t.Errorf("balancer %d still takes the leaving one for the owner", i)
			}
		}
	})
	t.Run("request in progress ends", func(t *testing.T) {
		m.finish(f.upstream())
		wantBody[*packet.Answer](t, f)
		wantRuns(t, m, f, 1, 1)
	})
	t.Run("packets that still reach it are relayed", func(t *testing.T) {
		g := m.flow(orderAddr).mustOpen(owner)
		g.send(owner, &packet.Request{ID: 1, Attempt: 1})
		m.finish(g.upstream())
		wantBody[*packet.Answer](t, g)
	})
}

// Guards against a request that is refused at its upstream and then tried at
// another one, where the flow does not exist.
func TestRefusedRequestStaysWithItsFlow(t *testing.T) {
	m := newMemory(t, 2, 3)
	f := m.flow(orderAddr).mustOpen(0)
	f.send(0, &packet.Cancel{ID: 1, Attempt: 1, Reason: packet.ReasonCancelled})
	f.send(1, &packet.Request{ID: 1, Attempt: 1})
	wantBody[*packet.Refuse](t, f)
	wantRuns(t, m, f, 1, 0)
}

// Guards against a false "not run" of an owner that cannot know: another owner
// forwarded a copy before.
func TestRefusalWhileACopyRuns(t *testing.T) {
	m := newMemory(t, 4, 1)
	f := m.flow(orderAddr).mustOpen(0)
	owner := f.ownerOf()
	f.send(owner, &packet.Request{ID: 1, Attempt: 1})
	m.isolate(owner)
	// The new owner has no room left, so that it must refuse.
	for i := range 60 {
		g := m.flow(orderAddr)
		g.send(m.other(owner), &packet.Open{Attempt: uint32(i + 1), Timeout: 100 * time.Second})
	}
	f.send(m.other(owner), &packet.Request{ID: 1, Attempt: 2, Timeout: time.Millisecond})
	m.pass(time.Second)
	for _, p := range m.inbox[f.id] {
		if b, ok := p.Body.(*packet.Refuse); ok && b.ID == 1 {
			t.Errorf("not_run_true: request was refused (%s) although it runs", b.Reason)
		}
	}
	wantRuns(t, m, f, 1, 1)
}

// Guards against an owner that follows a relay to an upstream of another
// service: the sender may still have an older table.
func TestOwnerChecksService(t *testing.T) {
	m := newMemory(t, 2, 3)
	foreign := upstreamNamed(m, "u100")
	for i, b := range m.balancers {
		f := m.flow(orderAddr)
		p := packet.Packet{Header: packet.Header{Flow: f.id, Address: orderAddr}, Body: &packet.Open{Attempt: uint32(i + 1)}}
		m.give(b, &input.FromPeer{Relay: input.Relay{Packet: p, Target: foreign.Endpoint, Hops: 1}})
		m.settle()
	}
	wantNoForeign(t, m)
}

// Guards against a flow that breaks when a balancer that started after its
// upstream was removed gets a packet of it.
func TestNewBalancerAfterRemoval(t *testing.T) {
	m := newMemory(t, 3, 4)
	feed := m.flow(feedAddr).mustOpen(0)
	order := m.flow(orderAddr).mustOpen(1)
	rollingReplace(m, 4)
	m.addBalancer("dc0")
	fresh := len(m.balancers) - 1
	t.Run("feed", func(t *testing.T) {
		feed.send(fresh, &packet.Ack{Seq: 1})
		wantBody[*packet.Data](t, feed)
	})
	t.Run("request", func(t *testing.T) {
		order.send(fresh, &packet.Request{ID: 1, Attempt: 1})
		m.finish(order.upstream())
		wantBody[*packet.Answer](t, order)
		wantRuns(t, m, order, 1, 1)
	})
}

// Guards against requests without a token that take capacity at upstreams that
// do not hold their flow, and against a cancel that is answered with a reset
// there.
func TestNoTokenFindsItsUpstream(t *testing.T) {
	m := newMemory(t, 4, 6)
	for range 12 {
		f := m.flow(orderAddr)
		f.noToken = true
		f.mustOpen(0)
		f.send(1, &packet.Request{ID: 1, Attempt: 1, Timeout: 5 * time.Second})
		if n := len(f.upstream().running); n != 1 {
			t.Fatalf("upstream of the flow runs %d requests, want 1", n)
		}
		f.send(2, &packet.Cancel{ID: 1, Attempt: 1, Reason: packet.ReasonCancelled})
		if _, broken := f.last().(*packet.Reset); broken {
			t.Fatal("cancel was answered with a reset although the upstream holds the flow")
		}
		m.finish(f.upstream())
		wantBody[*packet.Answer](t, f)
		f.send(3, &packet.Close{})
	}
	for _, u := range m.upstreams {
		if u.strays != 0 {
			t.Errorf("%s got %d requests of flows that it does not hold", u.Name, u.strays)
		}
	}
}

// Guards against a drain whose grace starts again with each new owner.
func TestOwnerDiesDuringDrain(t *testing.T) {
	m := newMemory(t, 4, 3)
	order := m.flow(orderAddr).mustOpen(0)
	u := order.upstream()
	u.draining = true
	report := &input.LoadReport{Endpoint: u.Endpoint, Healthy: true, Incarnation: 1, Slots: 2, Draining: true}
	owner := order.ownerOf()
	m.give(m.balancers[owner], report)
	m.pass(3 * time.Second)
	m.kill(owner)
	m.give(m.balancers[order.ownerOf()], report)
	before := u.opens
	for range 20 {
		m.flow(orderAddr).send(m.other(owner), &packet.Open{Attempt: 1})
	}
	if n := u.opens - before; n != 0 {
		t.Errorf("%d openings reached the draining upstream after its owner died", n)
	}
	order.send(m.other(owner), &packet.Request{ID: 1, Attempt: 1})
	if got := wantBody[*packet.Refuse](t, order).Reason; got != packet.ReasonDraining {
		t.Errorf("reason = %s, want %s", got, packet.ReasonDraining)
	}
	wantRuns(t, m, order, 1, 0)
}
