package engine_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// memFlow is a client's side of a flow on the in-memory front end.
type memFlow struct {
	m         *memFrontEnd
	id        uint64
	address   netip.AddrPort
	route     packet.Route
	handshake uint32
	noToken   bool
}

func (m *memFrontEnd) flow(address netip.AddrPort) *memFlow {
	return &memFlow{m: m, id: m.rnd.Uint64() | 1, address: address}
}

// send passes a packet of the flow to a balancer and makes all resulting
// deliveries.
func (f *memFlow) send(balancer int, b packet.Body) {
	p := packet.Packet{
		Header: packet.Header{Flow: f.id, Address: f.address, Handshake: f.handshake, Client: netip.MustParseAddrPort("10.9.0.1:1000")},
		Body:   b,
	}
	if !f.noToken {
		p.Route = f.route
	}
	f.m.handle(f.m.balancers[balancer], &input.FromClient{Packet: p})
	f.m.settle()
}

// last returns the last packet that the client received.
func (f *memFlow) last() packet.Body {
	in := f.m.inbox[f.id]
	if len(in) == 0 {
		return nil
	}
	return in[len(in)-1].Body
}

func (f *memFlow) mustOpen(balancer int) *memFlow {
	f.m.t.Helper()
	f.send(balancer, &packet.Open{Attempt: 1})
	in := f.m.inbox[f.id]
	if len(in) == 0 {
		f.m.t.Fatalf("flow %d: no reply to the opening", f.id)
	}
	p := in[len(in)-1]
	if _, ok := p.Body.(*packet.Accept); !ok {
		f.m.t.Fatalf("flow %d: opening got %#v, want an accept", f.id, p.Body)
	}
	f.route, f.handshake = p.Route, p.Handshake
	return f
}

func (f *memFlow) upstream() *memUpstream { return f.m.upstreams[f.route.Endpoint] }

func wantBody[T packet.Body](t *testing.T, f *memFlow) T {
	t.Helper()
	b, ok := f.last().(T)
	if !ok {
		t.Fatalf("flow %d: got %#v, want %T", f.id, f.last(), b)
	}
	return b
}

func wantRuns(t *testing.T, m *memFrontEnd, f *memFlow, request uint64, want int) {
	t.Helper()
	n := 0
	for _, u := range m.upstreams {
		n += u.runs[fmt.Sprintf("%d/%d", f.id, request)]
	}
	if n != want {
		t.Errorf("request %d of flow %d ran %d times, want %d", request, f.id, n, want)
	}
}

func wantNoMisrouted(t *testing.T, m *memFrontEnd) {
	t.Helper()
	for _, u := range m.upstreams {
		if u.misrouted != 0 {
			t.Errorf("upstream %s got %d packets of another service", u.Name, u.misrouted)
		}
	}
}

// Guards against an engine that depends on the datagram front end: the whole life
// cycle of a flow runs over an in-memory one.
func TestFlowLifecycle(t *testing.T) {
	t.Run("request through any balancers", func(t *testing.T) {
		m := newMemFrontEnd(t, 4, 6)
		f := m.flow(orderAddr).mustOpen(0)
		f.send(1, &packet.Request{ID: 1, Attempt: 1, Payload: []byte("order")})
		m.finish(f.upstream())
		if got := string(wantBody[*packet.Answer](t, f).Payload); got != "order" {
			t.Errorf("answer = %q, want %q", got, "order")
		}
		wantRuns(t, m, f, 1, 1)
		wantNoMisrouted(t, m)
	})
	t.Run("retransmission through all balancers runs once", func(t *testing.T) {
		m := newMemFrontEnd(t, 4, 6)
		f := m.flow(orderAddr).mustOpen(0)
		for i := range 8 {
			f.send(i%4, &packet.Request{ID: 1, Attempt: uint32(i + 1)})
		}
		m.finish(f.upstream())
		wantBody[*packet.Answer](t, f)
		wantRuns(t, m, f, 1, 1)
	})
	t.Run("data and close without a token", func(t *testing.T) {
		m := newMemFrontEnd(t, 4, 6)
		f := m.flow(planAddr)
		f.noToken = true
		f.mustOpen(0)
		for i := range 4 {
			f.send(i, &packet.Data{Seq: uint64(i + 1), Payload: []byte("chunk")})
			if got := wantBody[*packet.Ack](t, f).Seq; got != uint64(i+1) {
				t.Errorf("ack = %d, want %d", got, i+1)
			}
		}
		f.send(2, &packet.Close{})
		if n := len(f.upstream().conns); n != 0 {
			t.Errorf("upstream holds %d connections after close, want 0", n)
		}
	})
	t.Run("no configuration", func(t *testing.T) {
		m := newMemFrontEnd(t, 1, 2)
		fresh := &memBalancer{work: m.balancers[0].work}
		m.balancers[0] = fresh
		f := m.flow(orderAddr)
		f.send(0, &packet.Open{Attempt: 1})
		if got := wantBody[*packet.Refuse](t, f).Reason; got != packet.ReasonNoConfig {
			t.Errorf("reason = %s, want %s", got, packet.ReasonNoConfig)
		}
	})
	t.Run("full queue refuses and nothing runs", func(t *testing.T) {
		m := newMemFrontEnd(t, 2, 1)
		refused := 0
		for range 200 {
			f := m.flow(orderAddr)
			f.send(m.rnd.IntN(2), &packet.Open{Attempt: 1, Timeout: time.Second})
			if _, ok := f.last().(*packet.Refuse); ok {
				refused++
			}
		}
		if refused < 100 {
			t.Errorf("refused %d of 200 openings at one upstream with 2 slots, want at least 100", refused)
		}
	})
}

// Guards against new work at a draining upstream, and against the loss of its
// open flows.
func TestDrain(t *testing.T) {
	m := newMemFrontEnd(t, 4, 3)
	feed := m.flow(feedAddr).mustOpen(0)
	order := m.flow(orderAddr).mustOpen(1)
	u := feed.upstream()
	u.draining = true
	m.handleAll(&input.LoadReport{Endpoint: u.Endpoint, Healthy: true, Incarnation: 1, Slots: 2, Draining: true})
	m.advance(3 * time.Second)
	t.Run("feed continues", func(t *testing.T) {
		feed.send(2, &packet.Ack{Seq: 1})
		wantBody[*packet.Data](t, feed)
	})
	t.Run("no new flow", func(t *testing.T) {
		before := u.opens
		for range 50 {
			f := m.flow(feedAddr).mustOpen(m.rnd.IntN(4))
			if f.route.Endpoint == u.Endpoint {
				t.Fatalf("flow opened at the draining upstream %s", u.Name)
			}
		}
		if n := u.opens - before; n != 0 {
			t.Errorf("%d openings reached the draining upstream", n)
		}
	})
	t.Run("no new request on an open flow", func(t *testing.T) {
		if order.route.Endpoint != u.Endpoint {
			order = &memFlow{m: m, id: feed.id, address: orderAddr, route: feed.route, handshake: feed.handshake}
		}
		order.send(3, &packet.Request{ID: 9, Attempt: 1})
		if got := wantBody[*packet.Refuse](t, order).Reason; got != packet.ReasonDraining {
			t.Errorf("reason = %s, want %s", got, packet.ReasonDraining)
		}
		wantRuns(t, m, order, 9, 0)
	})
}

// Guards against flows that move or break when upstreams are added or removed.
func TestFlowSurvivesEdits(t *testing.T) {
	for _, noToken := range []bool{false, true} {
		t.Run(fmt.Sprintf("no token %v", noToken), func(t *testing.T) {
			m := newMemFrontEnd(t, 4, 6)
			var flows []*memFlow
			for i := range 40 {
				f := m.flow(planAddr)
				f.noToken = noToken
				flows = append(flows, f.mustOpen(i%4))
			}
			rollingReplace(m, 6)
			for _, f := range flows {
				f.send(m.rnd.IntN(4), &packet.Data{Seq: 1, Payload: []byte("x")})
				wantBody[*packet.Ack](t, f)
			}
			wantNoMisrouted(t, m)
		})
	}
}

// rollingReplace replaces the upstreams of customer north one at a time. The
// edits reach the balancers in turn.
func rollingReplace(m *memFrontEnd, n int) {
	for i := range n {
		cfg := m.config()
		p, _ := cfg.Params("north")
		p = p.WithoutUpstream(fmt.Sprintf("u%03d", i))
		p = p.WithUpstream(m.addUpstream(fmt.Sprintf("v%03d", i), uint16(30000+i), orderAddr.Addr()))
		m.configure(cfg.WithParams(p).WithRevision(cfg.Revision + 1))
	}
}

// Guards against a configuration that goes back to an older revision.
func TestRevisionOnlyGrows(t *testing.T) {
	m := newMemFrontEnd(t, 1, 2)
	old := m.config()
	m.configure(old.WithoutParams("south").WithRevision(2))
	m.configure(old)
	if _, ok := m.config().Params("south"); ok || m.config().Revision != 2 {
		t.Errorf("revision = %d with south %v, want 2 without south", m.config().Revision, ok)
	}
}

// Guards against an upstream that restarts at the same endpoint and accepts
// packets for its previous incarnation.
func TestRestartedUpstreamResetsFlows(t *testing.T) {
	m := newMemFrontEnd(t, 2, 2)
	f := m.flow(orderAddr).mustOpen(0)
	f.send(0, &packet.Request{ID: 1, Attempt: 1})
	f.upstream().restart()
	f.send(1, &packet.Request{ID: 1, Attempt: 2})
	wantBody[*packet.Reset](t, f)
	wantRuns(t, m, f, 1, 1)
}

// Guards against a packet that is sent to an endpoint after the endpoint was
// assigned to another service.
func TestEndpointGivenToAnotherService(t *testing.T) {
	m := newMemFrontEnd(t, 2, 3)
	f := m.flow(feedAddr).mustOpen(0)
	u := f.upstream()
	cfg := m.config()
	north, _ := cfg.Params("north")
	south, _ := cfg.Params("south")
	moved := model.Upstream{Name: "moved", DataCentre: "dc0", Endpoint: u.Endpoint}
	cfg = cfg.WithParams(north.WithoutUpstream(u.Name)).WithParams(south.WithUpstream(moved))
	m.configure(cfg.WithRevision(2))
	u.service = otherAddr.Addr()
	u.restart()
	f.send(1, &packet.Ack{Seq: 1})
	wantBody[*packet.Reset](t, f)
	wantNoMisrouted(t, m)
}
