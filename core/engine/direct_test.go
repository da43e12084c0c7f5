package engine_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"egretdock/core/effect"
	"egretdock/core/engine"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/roster"
	"egretdock/core/table"
)

var (
	deskAddress = netip.MustParseAddrPort("198.18.0.1:8080")
	feedAddress = netip.MustParseAddrPort("198.18.0.1:443")
	newAddress  = netip.MustParseAddrPort("198.18.0.2:443")
)

// directHarness drives the engine with inputs of opaque flows.
type directHarness struct {
	t      *testing.T
	engine engine.Engine
	work   *engine.WorkerState
	now    time.Time
	// listRevision and routesRevision are the last revisions of the list of
	// instances and of the routes.
	listRevision   uint64
	routesRevision uint64
	clients        int
}

// newDirectHarness returns a balancer without routes and instances.
func newDirectHarness(t *testing.T) *directHarness {
	f := &directHarness{t: t, work: engine.NewWorkerState(1), now: time.Now()}
	f.engine.Self = model.Balancer{Name: "b1", DataCentre: "ain"}
	f.engine.Direct = engine.DirectConfig{FlowLifetime: time.Minute, Locality: table.Locality{DataCentre: "ain", Regions: map[string]string{"ain": "casa", "sidi": "casa"}}}
	return f
}

// newServingHarness returns a balancer with routes to the service desk, whose
// instances 1 and 2 are in the balancer's data centre and 3 in another.
func newServingHarness(t *testing.T) *directHarness {
	f := newDirectHarness(t)
	f.setRoutes(deskAddress, feedAddress)
	f.setInstances(testInstance(1, "ain"), testInstance(2, "ain"), testInstance(3, "sidi"))
	return f
}

func testInstance(id uint64, dataCentre string) model.Instance {
	return model.Instance{
		ID: id, Name: fmt.Sprintf("i-%x", id), Service: "desk", DataCentre: dataCentre, Slots: 2,
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 8080),
	}
}

// handle passes an input to the engine and returns the effects.
func (f *directHarness) handle(in input.Input) []effect.Effect {
	f.work.Out.Reset()
	f.engine.Handle(f.work, f.now, in)
	return f.work.Out.Items()
}

func (f *directHarness) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *directHarness) setRoutes(addresses ...netip.AddrPort) {
	f.routesRevision++
	routes := make([]model.Route, 0, len(addresses))
	for _, a := range addresses {
		routes = append(routes, model.Route{Address: a, Services: []model.WeightedService{{Service: "desk", Weight: 1}}, Idempotent: a != deskAddress})
	}
	f.handle(&input.RoutesConfirmed{Routing: model.Routing{Position: model.Position{Revision: f.routesRevision}, IdleTimeout: 15 * time.Second}.WithRoutes(routes)})
}

func (f *directHarness) setInstances(ins ...model.Instance) {
	f.listRevision++
	in := &input.InstancesListed{Position: model.Position{Revision: f.listRevision}}
	for _, i := range ins {
		i.Position = model.Position{Revision: f.listRevision}
		in.Entries = append(in.Entries, model.InstanceChange{Instance: i})
	}
	f.handle(in)
}

func (f *directHarness) changeInstance(kind model.ChangeKind, i model.Instance) {
	f.listRevision++
	i.Position = model.Position{Revision: f.listRevision}
	f.handle(&input.InstancesChanged{Position: model.Position{Revision: f.listRevision}, Changes: []model.InstanceChange{{Kind: kind, Instance: i}}})
}

// clientStart is the initial sequence number of the clients.
const clientStart = 99

// opaqueFlow is the client's side of an opaque flow.
type opaqueFlow struct {
	f     *directHarness
	id    packet.FlowID
	token uint32
	seq   uint32
	// opened is true once the client has sent data.
	opened bool
	// waited is how long the next packets have waited in the socket.
	waited time.Duration
}

func (f *directHarness) flow(address netip.AddrPort) *opaqueFlow {
	f.clients++
	return &opaqueFlow{f: f, seq: clientStart + 1, id: packet.FlowID{
		Client:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(1000+f.clients)),
		Address: address,
	}}
}

// open sends an opening: the first transmission for 0, else that
// retransmission.
func (o *opaqueFlow) open(retransmit uint32) []effect.Effect {
	s := packet.Segment{Flow: o.id, Kind: packet.SegmentOpen, Retransmit: retransmit, Seq: clientStart, Waited: o.waited, Raw: []byte("syn")}
	if o.opened {
		s.Raw = []byte("late syn")
	}
	return o.f.handle(&input.FlowOpen{Segment: s})
}

// sendData sends the next payload, or an acknowledgement when n is 0.
func (o *opaqueFlow) sendData(n int) []effect.Effect {
	o.opened = true
	s := packet.Segment{Flow: o.id, Token: o.token, Seq: o.seq, Ack: 500, PayloadLen: n, Waited: o.waited, Raw: []byte("data")}
	o.seq += uint32(n)
	return o.f.handle(&input.FlowContinue{Segment: s})
}

// mustOpen opens the flow and returns the instance that it is open at.
func (o *opaqueFlow) mustOpen() uint64 {
	o.f.t.Helper()
	id := wantDelivered(o.f.t, o.open(0))
	o.token = table.OpeningToken(id)
	wantDelivered(o.f.t, o.sendData(10))
	o.token = table.Token(id)
	return id
}

// wantDelivered checks that exactly one packet is delivered and returns the
// instance that gets it.
func wantDelivered(t *testing.T, es []effect.Effect) uint64 {
	t.Helper()
	var ids []uint64
	for _, e := range es {
		if d, ok := e.(*effect.Deliver); ok {
			ids = append(ids, d.Instance)
			want := table.Token(d.Instance)
			if string(d.Raw) == "syn" {
				want = table.OpeningToken(d.Instance)
			}
			if d.Token != want {
				t.Errorf("packet to instance %d carries the token %x of another or of an opening", d.Instance, d.Token)
			}
		}
	}
	if len(ids) != 1 {
		t.Fatalf("packet delivered to instances %v, want one", ids)
	}
	return ids[0]
}

// wantDropped checks that nothing is sent to an instance or to the client, and
// that the reason is logged.
func wantDropped(t *testing.T, es []effect.Effect, reason string) {
	t.Helper()
	logged := false
	for _, e := range es {
		switch e := e.(type) {
		case *effect.Deliver:
			t.Errorf("packet delivered to instance %d, want it dropped", e.Instance)
		case *effect.ResetFlow:
			t.Errorf("flow reset, want the packet dropped without an answer")
		case *effect.Event:
			logged = logged || e.Name == "packet_dropped" && e.Detail == reason
		default:
		}
	}
	if !logged {
		t.Errorf("no packet_dropped with reason %s", reason)
	}
}

// wantReset checks that the client gets one reset and that the reason is logged.
func wantReset(t *testing.T, es []effect.Effect, reason string) {
	t.Helper()
	resets, logged := 0, false
	for _, e := range es {
		switch e := e.(type) {
		case *effect.Deliver:
			t.Errorf("packet delivered to instance %d, want a reset", e.Instance)
		case *effect.ResetFlow:
			resets++
		case *effect.Event:
			logged = logged || e.Name == "flow_reset" && e.Detail == reason
		default:
		}
	}
	if resets != 1 || !logged {
		t.Errorf("%d resets (reason %s logged: %t), want one", resets, reason, logged)
	}
}

// Guards against a client whose attempts all fail within milliseconds at one
// instance that has ended and refuses openings: the balancer sees no answer and
// treats the instance as failing only after 40 ms.
func TestQuickRetriesUseOtherInstances(t *testing.T) {
	f := newServingHarness(t)
	tried := make(map[uint64]bool)
	for range 3 {
		id := wantDelivered(t, f.flow(feedAddress).open(0))
		if tried[id] {
			t.Errorf("a new flow of the client goes to instance %d, which has not answered its last one", id)
		}
		tried[id] = true
		f.advance(3 * time.Millisecond)
	}
	t.Run("when all instances were tried", func(t *testing.T) { wantDelivered(t, f.flow(feedAddress).open(0)) })
}

// Guards against a starting balancer that resets the open flows of others.
func TestStartingBalancer(t *testing.T) {
	t.Run("without routes", func(t *testing.T) {
		o := newDirectHarness(t).flow(deskAddress)
		o.token = table.Token(1)
		wantDropped(t, o.sendData(10), "no_routes")
		wantDropped(t, o.open(0), "no_routes")
	})
	t.Run("without instances", func(t *testing.T) {
		f := newDirectHarness(t)
		f.setRoutes(deskAddress)
		o := f.flow(deskAddress)
		o.token = table.Token(1)
		wantDropped(t, o.sendData(10), "token_unknown")
		wantDropped(t, o.open(0), "no_instance")
	})
}

// Guards against flows that break when their packets reach another balancer.
func TestFlowMovesBetweenBalancers(t *testing.T) {
	a, b := newServingHarness(t), newServingHarness(t)
	for range 20 {
		o := a.flow(deskAddress)
		id := o.mustOpen()
		o.f = b
		if got := wantDelivered(t, o.sendData(10)); got != id {
			t.Errorf("packet reaches instance %d through another balancer, want %d", got, id)
		}
	}
}

// Guards against delivering a packet with an unknown token to some instance. The
// token may belong to an instance that only other balancers know, and any other
// instance would reset the flow.
func TestUnknownToken(t *testing.T) {
	o := newServingHarness(t).flow(deskAddress)
	o.token = table.Token(99)
	wantDropped(t, o.sendData(10), "token_unknown")
}

// Guards against retrying an opening at an instance that has not answered it.
func TestOpeningIsRetriedAtAnotherInstance(t *testing.T) {
	t.Run("by the client's retransmission", func(t *testing.T) {
		f := newServingHarness(t)
		o := f.flow(deskAddress)
		first := wantDelivered(t, o.open(0))
		f.advance(200 * time.Millisecond)
		if second := wantDelivered(t, o.open(1)); second == first {
			t.Errorf("retransmission goes to instance %d again", second)
		}
	})
	t.Run("before the client's retransmission", func(t *testing.T) {
		f := newServingHarness(t)
		o := f.flow(deskAddress)
		first := wantDelivered(t, o.open(0))
		f.advance(50 * time.Millisecond)
		if second := wantDelivered(t, f.handle(&input.Wake{})); second == first {
			t.Errorf("hedged opening goes to instance %d again", second)
		}
	})
	t.Run("not after an answer", func(t *testing.T) {
		f := newServingHarness(t)
		f.flow(deskAddress).mustOpen()
		f.advance(50 * time.Millisecond)
		for _, e := range f.handle(&input.Wake{}) {
			if _, ok := e.(*effect.Deliver); ok {
				t.Errorf("an answered opening is sent again")
			}
		}
	})
	t.Run("later flows avoid the silent instance", func(t *testing.T) {
		f := newServingHarness(t)
		silent := wantDelivered(t, f.flow(deskAddress).open(0))
		f.advance(50 * time.Millisecond)
		f.handle(&input.Wake{})
		for range 10 {
			if id := wantDelivered(t, f.flow(deskAddress).open(0)); id == silent {
				t.Errorf("opening goes to the silent instance %d", id)
			}
		}
	})
}

// Guards against a flow that moves when two instances have answered its hedged
// opening: it must stay at the instance whose answer the client used first.
func TestHedgedFlowKeepsItsInstance(t *testing.T) {
	f := newServingHarness(t)
	o := f.flow(deskAddress)
	first := wantDelivered(t, o.open(0))
	f.advance(50 * time.Millisecond)
	second := wantDelivered(t, f.handle(&input.Wake{}))
	o.token = table.OpeningToken(first)
	wantDelivered(t, o.sendData(10))
	o.token = table.OpeningToken(second)
	if id := wantDelivered(t, o.sendData(10)); id != first {
		t.Errorf("packet goes to instance %d, the flow is open at %d", id, first)
	}
}

// Guards against new flows at a draining instance, and against the loss of the
// flows that are open there.
func TestDrainingInstance(t *testing.T) {
	f := newServingHarness(t)
	o := f.flow(deskAddress)
	id := o.mustOpen()
	leaving := testInstance(id, "ain")
	leaving.Draining = true
	f.changeInstance(model.ChangeWritten, leaving)
	for range 20 {
		if got := f.flow(deskAddress).mustOpen(); got == id {
			t.Fatalf("opening reaches the draining instance %d", got)
		}
	}
	if got := wantDelivered(t, o.sendData(10)); got != id {
		t.Errorf("packet of an open flow reaches instance %d, want the draining %d", got, id)
	}
	t.Run("reset once it has left", func(t *testing.T) {
		f.changeInstance(model.ChangeRemoved, leaving)
		wantReset(t, o.sendData(10), "instance_gone")
	})
}

// Guards against resets of flows whose instance is running but whose entry in
// the list has lapsed for a moment, and against flows without a reset when the
// instance is gone.
func TestLapsedInstance(t *testing.T) {
	f := newServingHarness(t)
	o := f.flow(deskAddress)
	id := o.mustOpen()
	f.changeInstance(model.ChangeRemoved, testInstance(id, "ain"))
	f.advance(roster.OpenFlowGrace - time.Millisecond)
	f.handle(&input.Tick{})
	if got := wantDelivered(t, o.sendData(10)); got != id {
		t.Errorf("packet reaches instance %d, want the lapsed %d", got, id)
	}
	f.advance(time.Millisecond)
	f.handle(&input.Tick{})
	wantReset(t, o.sendData(10), "instance_gone")
}

// Guards against dropping all new flows when every entry lapses at once.
func TestAllLapsed(t *testing.T) {
	f := newServingHarness(t)
	f.setInstances()
	f.advance(roster.NewFlowGrace - time.Millisecond)
	wantDelivered(t, f.flow(deskAddress).open(0))
	t.Run("not after the grace period", func(t *testing.T) {
		f.advance(time.Millisecond)
		wantDropped(t, f.flow(deskAddress).open(0), "no_instance")
	})
}

// Guards against a delayed or duplicated opening that moves an open flow to
// another instance.
func TestLateOpening(t *testing.T) {
	for name, retransmit := range map[string]uint32{"first transmission": 0, "retransmission": 1} {
		t.Run(name, func(t *testing.T) {
			f := newServingHarness(t)
			o := f.flow(deskAddress)
			id := o.mustOpen()
			for range 3 {
				f.advance(300 * time.Millisecond)
				if got := wantDelivered(t, o.open(retransmit)); got != id {
					t.Errorf("late opening goes to instance %d, the flow is open at %d", got, id)
				}
				if got := wantDelivered(t, o.sendData(10)); got != id {
					t.Errorf("packet goes to instance %d, the flow is open at %d", got, id)
				}
			}
		})
	}
}

// Guards against flows that stay open on a removed route, and against older
// routes that replace newer ones.
func TestRemovedRoute(t *testing.T) {
	f := newServingHarness(t)
	o := f.flow(feedAddress)
	o.mustOpen()
	f.setRoutes(deskAddress)
	wantReset(t, o.sendData(10), "route_removed")
	wantReset(t, f.flow(feedAddress).open(0), "no_route")
	t.Run("older routes stay out of force", func(t *testing.T) {
		f.routesRevision -= 2
		f.setRoutes(deskAddress, feedAddress)
		wantReset(t, f.flow(feedAddress).open(0), "no_route")
	})
}

// Guards against a reset of flows on a new route by a balancer that has not
// received it yet.
func TestRouteNotKnownYet(t *testing.T) {
	f := newServingHarness(t)
	t.Run("open flow", func(t *testing.T) {
		o := f.flow(newAddress)
		o.token = table.Token(1)
		wantDropped(t, o.sendData(10), "no_route")
	})
	t.Run("opening without a recent confirmation", func(t *testing.T) {
		f.advance(3 * time.Second)
		wantDropped(t, f.flow(newAddress).open(0), "no_route_unconfirmed")
	})
}

// Guards against decisions whose log entry lacks what they were based on.
func TestDecisionsAreLogged(t *testing.T) {
	f := newServingHarness(t)
	f.advance(700 * time.Millisecond)
	o := f.flow(deskAddress)
	for _, e := range o.open(0) {
		ev, ok := e.(*effect.Event)
		if !ok {
			continue
		}
		if ev.Name != "flow_placed" || ev.Client != o.id.Client || ev.Address != deskAddress || ev.Upstream == "" ||
			ev.Revision != f.routesRevision || ev.ListRevision != f.listRevision || ev.Age != 700*time.Millisecond || ev.Candidates != 2 {
			t.Errorf("event %+v lacks what the decision was based on", ev)
		}
		return
	}
	t.Error("no event for a placed flow")
}

// Guards against a start that writes a line for each of hundreds of instances
// before it forwards a packet, and against later changes that are not reported.
func TestFirstListIsOneEvent(t *testing.T) {
	f := newDirectHarness(t)
	instances := make([]model.Instance, 0, 200)
	for id := range uint64(200) {
		instances = append(instances, testInstance(id+1, "ain"))
	}
	events := func(in input.Input) []string {
		var out []string
		for _, e := range f.handle(in) {
			if e, ok := e.(*effect.Event); ok {
				out = append(out, e.Name+" "+e.Detail)
			}
		}
		return out
	}
	list := &input.InstancesListed{Position: model.Position{Revision: 7}}
	for _, in := range instances {
		list.Entries = append(list.Entries, model.InstanceChange{Instance: in})
	}
	if got := events(list); len(got) != 1 || got[0] != "instances_listed ready=200" {
		t.Errorf("the first list is reported as %q, want one event", got)
	}
	gone := instances[0]
	gone.Draining, gone.Position = true, model.Position{Revision: 8}
	if got := events(&input.InstancesChanged{Position: gone.Position, Changes: []model.InstanceChange{{Instance: gone}}}); len(got) != 1 || !strings.HasPrefix(got[0], "instance_draining ") {
		t.Errorf("a change is reported as %q, want instance_draining", got)
	}
}
