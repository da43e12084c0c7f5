package engine_test

import (
	"net/netip"
	"testing"
	"time"

	"egretdock/core/packet"
)

// kill stops a balancer; the others learn of it when hosts is called.
func (m *memory) kill(i int) { m.balancers[i].dead = true }

// ownerOf returns the index of the balancer that owns the flow's upstream.
func (f *memFlow) ownerOf() int {
	f.m.t.Helper()
	for i, b := range f.m.balancers {
		if o, ok := f.m.balancers[0].Tables.Members().Owner(f.upstream().Upstream); ok && b.Self.Name == o.Name {
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
		m.hosts()
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
		m.cut = func(from, to netip.AddrPort) bool {
			return from == m.balancers[owner].Self.Peer || to == m.balancers[owner].Self.Peer
		}
		m.balancers[owner].dead = true
		m.hosts()
		m.balancers[owner].dead = false
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
	var flows []*memFlow
	for range 4 {
		f := m.flow(orderAddr)
		f.send(0, &packet.Open{Attempt: 1, Timeout: 400 * time.Millisecond})
		flows = append(flows, f)
	}
	// Both balancers leave ownership to a third one that is not there.
	ghost := &memBalancer{work: m.balancers[0].work, dead: true}
	ghost.Self = m.balancers[0].Self
	ghost.Self.Name, ghost.Self.Peer = "b99", netip.MustParseAddrPort("10.0.0.1:9099")
	m.balancers[0].Self.DataCentre, m.balancers[1].Self.DataCentre = "dc1", "dc1"
	ghost.dead = false
	m.balancers = append(m.balancers, ghost)
	m.hosts()
	ghost.dead = true
	m.pass(time.Second)
	for i, f := range flows {
		if f.last() == nil {
			t.Errorf("opening %d got no reply a second after its deadline", i)
		}
	}
}

// Guards against packets that circle between balancers with different views
// of the members.
func TestRelaysEnd(t *testing.T) {
	m := newMemory(t, 2, 1)
	for i, b := range m.balancers {
		b.dead = true
		m.hosts() // the other balancer now believes that it is alone
		b.dead = false
		m.balancers[1-i].dead = false
	}
	f := m.flow(orderAddr)
	f.send(0, &packet.Open{Attempt: 1})
	if f.last() == nil {
		t.Error("opening got no reply")
	}
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
				c := b.Pool.Placement(again.id)
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
