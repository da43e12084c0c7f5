package engine_test

import (
	"fmt"
	"net/netip"
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

// front drives the engine with inputs of opaque flows.
type front struct {
	t      *testing.T
	engine engine.Engine
	work   *engine.WorkerState
	now    time.Time
	// list is the revision of the list of instances.
	list    uint64
	routing uint64
	clients int
}

// newFront returns a balancer that knows nothing.
func newFront(t *testing.T) *front {
	f := &front{t: t, work: engine.NewWorkerState(1), now: time.Now()}
	f.engine.Self = model.Balancer{Name: "b1", DataCentre: "ain"}
	f.engine.Direct = engine.DirectConfig{FlowLifetime: time.Minute, Locality: table.Locality{DataCentre: "ain", Regions: map[string]string{"ain": "casa", "sidi": "casa"}}}
	return f
}

// newServing returns a balancer with routes for the desk and instances 1 and 2
// in its own data centre and 3 in another.
func newServing(t *testing.T) *front {
	f := newFront(t)
	f.route(deskAddress, feedAddress)
	f.listed(one(1, "ain"), one(2, "ain"), one(3, "sidi"))
	return f
}

func one(id uint64, dataCentre string) model.Instance {
	return model.Instance{
		ID: id, Name: fmt.Sprintf("i-%x", id), Service: "desk", DataCentre: dataCentre, Slots: 2,
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 8080),
	}
}

// give hands an input to the engine and returns the effects.
func (f *front) give(in input.Input) []effect.Effect {
	f.work.Out.Reset()
	f.engine.Handle(f.work, f.now, in)
	return f.work.Out.Items()
}

func (f *front) pass(d time.Duration) { f.now = f.now.Add(d) }

func (f *front) route(addresses ...netip.AddrPort) {
	f.routing++
	routes := make([]model.Route, 0, len(addresses))
	for _, a := range addresses {
		routes = append(routes, model.Route{Address: a, Shares: []model.Share{{Service: "desk", Weight: 1}}, Idempotent: a != deskAddress})
	}
	f.give(&input.RoutesConfirmed{Routing: model.Routing{Revision: f.routing, IdleTimeout: 15 * time.Second}.WithRoutes(routes)})
}

func (f *front) listed(ins ...model.Instance) {
	f.list++
	in := &input.InstancesListed{Revision: f.list}
	for _, i := range ins {
		i.Revision = f.list
		in.Entries = append(in.Entries, model.InstanceChange{Instance: i})
	}
	f.give(in)
}

func (f *front) change(kind model.ChangeKind, i model.Instance) {
	f.list++
	i.Revision = f.list
	f.give(&input.InstancesChanged{Revision: f.list, Changes: []model.InstanceChange{{Kind: kind, Instance: i}}})
}

// opaque is a client's side of an opaque flow.
type opaque struct {
	f     *front
	id    packet.FlowID
	token uint32
	seq   uint32
}

func (f *front) flow(address netip.AddrPort) *opaque {
	f.clients++
	return &opaque{f: f, seq: 100, id: packet.FlowID{
		Client:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(1000+f.clients)),
		Address: address,
	}}
}

func (o *opaque) open(number uint32) []effect.Effect {
	s := packet.Segment{Flow: o.id, Kind: packet.SegmentOpen, Retransmit: number, Raw: []byte("syn")}
	return o.f.give(&input.FlowOpen{Segment: s})
}

// data sends the next payload, or an acknowledgement when n is 0.
func (o *opaque) data(n int) []effect.Effect {
	s := packet.Segment{Flow: o.id, Token: o.token, Seq: o.seq, Ack: 500, PayloadLen: n, Raw: []byte("data")}
	o.seq += uint32(n)
	return o.f.give(&input.FlowContinue{Segment: s})
}

// mustOpen opens the flow and returns the instance that it is open at.
func (o *opaque) mustOpen() uint64 {
	o.f.t.Helper()
	id := deliveredTo(o.f.t, o.open(0))
	o.token = table.Token(id)
	deliveredTo(o.f.t, o.data(10))
	return id
}

// deliveredTo returns the instance that one packet was sent to.
func deliveredTo(t *testing.T, es []effect.Effect) uint64 {
	t.Helper()
	var ids []uint64
	for _, e := range es {
		if d, ok := e.(*effect.Deliver); ok {
			ids = append(ids, d.Instance)
			if d.Token != table.Token(d.Instance) {
				t.Errorf("packet to instance %d carries the token %x of another", d.Instance, d.Token)
			}
		}
	}
	if len(ids) != 1 {
		t.Fatalf("packet delivered to instances %v, want one", ids)
	}
	return ids[0]
}

// isDropped checks that nothing is sent, neither to an instance nor to the
// client, and that the log says why.
func isDropped(t *testing.T, es []effect.Effect, reason string) {
	t.Helper()
	said := false
	for _, e := range es {
		switch e := e.(type) {
		case *effect.Deliver:
			t.Errorf("packet delivered to instance %d, want it dropped", e.Instance)
		case *effect.ResetFlow:
			t.Errorf("flow reset, want the packet dropped without an answer")
		case *effect.Event:
			said = said || e.Name == "packet_dropped" && e.Detail == reason
		default:
		}
	}
	if !said {
		t.Errorf("no packet_dropped with reason %s", reason)
	}
}

// isReset checks that the client is told that the flow is over.
func isReset(t *testing.T, es []effect.Effect, reason string) {
	t.Helper()
	resets, said := 0, false
	for _, e := range es {
		switch e := e.(type) {
		case *effect.Deliver:
			t.Errorf("packet delivered to instance %d, want a reset", e.Instance)
		case *effect.ResetFlow:
			resets++
		case *effect.Event:
			said = said || e.Name == "flow_reset" && e.Detail == reason
		default:
		}
	}
	if resets != 1 || !said {
		t.Errorf("%d resets (reason %s logged: %t), want one", resets, reason, said)
	}
}

// Guards against a client that spends all its tries within milliseconds on one
// instance that has ended and refuses its openings: the balancer sees no answer
// and doubts the instance only after 40 ms.
func TestQuickRetriesGoElsewhere(t *testing.T) {
	f := newServing(t)
	tried := make(map[uint64]bool)
	for range 3 {
		id := deliveredTo(t, f.flow(feedAddress).open(0))
		if tried[id] {
			t.Errorf("a new flow of the client goes to instance %d, which has not answered its last one", id)
		}
		tried[id] = true
		f.pass(3 * time.Millisecond)
	}
	t.Run("when all were tried", func(t *testing.T) { deliveredTo(t, f.flow(feedAddress).open(0)) })
}

// Guards against a starting balancer that resets the open flows of others.
func TestStartingBalancer(t *testing.T) {
	t.Run("without routes", func(t *testing.T) {
		o := newFront(t).flow(deskAddress)
		o.token = table.Token(1)
		isDropped(t, o.data(10), "no_routes")
		isDropped(t, o.open(0), "no_routes")
	})
	t.Run("without instances", func(t *testing.T) {
		f := newFront(t)
		f.route(deskAddress)
		o := f.flow(deskAddress)
		o.token = table.Token(1)
		isDropped(t, o.data(10), "token_unknown")
		isDropped(t, o.open(0), "no_instance")
	})
}

// Guards against flows that break when their packets reach another balancer.
func TestFlowMovesBetweenBalancers(t *testing.T) {
	a, b := newServing(t), newServing(t)
	for range 20 {
		o := a.flow(deskAddress)
		id := o.mustOpen()
		o.f = b
		if got := deliveredTo(t, o.data(10)); got != id {
			t.Errorf("packet reaches instance %d through another balancer, want %d", got, id)
		}
	}
}

// Guards against packets for an instance that only others know: it must not be
// guessed, since any other instance would reset the flow.
func TestUnknownToken(t *testing.T) {
	o := newServing(t).flow(deskAddress)
	o.token = table.Token(99)
	isDropped(t, o.data(10), "token_unknown")
}

// Guards against an opening that is sent to a silent instance again.
func TestOpeningIsRetriedElsewhere(t *testing.T) {
	t.Run("by the client's next copy", func(t *testing.T) {
		f := newServing(t)
		o := f.flow(deskAddress)
		first := deliveredTo(t, o.open(0))
		f.pass(200 * time.Millisecond)
		if second := deliveredTo(t, o.open(1)); second == first {
			t.Errorf("second copy goes to instance %d again", second)
		}
	})
	t.Run("before the client's next copy", func(t *testing.T) {
		f := newServing(t)
		o := f.flow(deskAddress)
		first := deliveredTo(t, o.open(0))
		f.pass(50 * time.Millisecond)
		if second := deliveredTo(t, f.give(&input.Wake{})); second == first {
			t.Errorf("hedged opening goes to instance %d again", second)
		}
	})
	t.Run("not once answered", func(t *testing.T) {
		f := newServing(t)
		f.flow(deskAddress).mustOpen()
		f.pass(50 * time.Millisecond)
		for _, e := range f.give(&input.Wake{}) {
			if _, ok := e.(*effect.Deliver); ok {
				t.Errorf("an answered opening is sent again")
			}
		}
	})
	t.Run("later flows avoid the silent instance", func(t *testing.T) {
		f := newServing(t)
		silent := deliveredTo(t, f.flow(deskAddress).open(0))
		f.pass(50 * time.Millisecond)
		f.give(&input.Wake{})
		for range 10 {
			if id := deliveredTo(t, f.flow(deskAddress).open(0)); id == silent {
				t.Errorf("opening goes to the silent instance %d", id)
			}
		}
	})
}

// Guards against a flow that two instances answered and that the second answer
// takes away from the instance it is open at.
func TestHedgedFlowStays(t *testing.T) {
	f := newServing(t)
	o := f.flow(deskAddress)
	first := deliveredTo(t, o.open(0))
	f.pass(50 * time.Millisecond)
	second := deliveredTo(t, f.give(&input.Wake{}))
	o.token = table.Token(first)
	deliveredTo(t, o.data(10))
	o.token = table.Token(second)
	if id := deliveredTo(t, o.data(10)); id != first {
		t.Errorf("packet goes to instance %d, the flow is open at %d", id, first)
	}
}

// Guards against new flows for an instance that leaves, and against the loss of
// those that it has.
func TestDrainingInstance(t *testing.T) {
	f := newServing(t)
	o := f.flow(deskAddress)
	id := o.mustOpen()
	leaving := one(id, "ain")
	leaving.Draining = true
	f.change(model.ChangeWritten, leaving)
	for range 20 {
		if got := f.flow(deskAddress).mustOpen(); got == id {
			t.Fatalf("opening reaches the draining instance %d", got)
		}
	}
	if got := deliveredTo(t, o.data(10)); got != id {
		t.Errorf("packet of an open flow reaches instance %d, want the draining %d", got, id)
	}
	t.Run("reset once it has left", func(t *testing.T) {
		f.change(model.ChangeRemoved, leaving)
		isReset(t, o.data(10), "instance_gone")
	})
}

// Guards against resets of flows whose instance is there but has lost its entry
// for a moment, and against flows that stay silent when it is gone.
func TestLapsedInstance(t *testing.T) {
	f := newServing(t)
	o := f.flow(deskAddress)
	id := o.mustOpen()
	f.change(model.ChangeRemoved, one(id, "ain"))
	f.pass(roster.GoneAfter - time.Millisecond)
	f.give(&input.Tick{})
	if got := deliveredTo(t, o.data(10)); got != id {
		t.Errorf("packet reaches instance %d, want the lapsed %d", got, id)
	}
	f.pass(time.Millisecond)
	f.give(&input.Tick{})
	isReset(t, o.data(10), "instance_gone")
}

// Guards against the loss of all new flows when every entry lapses at once.
func TestAllLapsed(t *testing.T) {
	f := newServing(t)
	f.listed()
	f.pass(roster.LapseGrace - time.Millisecond)
	deliveredTo(t, f.flow(deskAddress).open(0))
	t.Run("not once they count as departed", func(t *testing.T) {
		f.pass(time.Millisecond)
		isDropped(t, f.flow(deskAddress).open(0), "no_instance")
	})
}

// Guards against a copy of an opening that the network has delayed or doubled
// and that takes an open flow away from its instance.
func TestLateOpening(t *testing.T) {
	for name, number := range map[string]uint32{"first copy": 0, "second copy": 1} {
		t.Run(name, func(t *testing.T) {
			f := newServing(t)
			o := f.flow(deskAddress)
			id := o.mustOpen()
			for range 3 {
				f.pass(300 * time.Millisecond)
				if got := deliveredTo(t, o.open(number)); got != id {
					t.Errorf("late opening goes to instance %d, the flow is open at %d", got, id)
				}
				if got := deliveredTo(t, o.data(10)); got != id {
					t.Errorf("packet goes to instance %d, the flow is open at %d", got, id)
				}
			}
		})
	}
}

func TestRemovedRoute(t *testing.T) {
	f := newServing(t)
	o := f.flow(feedAddress)
	o.mustOpen()
	f.route(deskAddress)
	isReset(t, o.data(10), "route_removed")
	isReset(t, f.flow(feedAddress).open(0), "no_route")
	t.Run("older routes stay out of force", func(t *testing.T) {
		f.routing -= 2
		f.route(deskAddress, feedAddress)
		isReset(t, f.flow(feedAddress).open(0), "no_route")
	})
}

// Guards against a balancer that lags behind and refuses a route that was added.
func TestRouteNotKnownYet(t *testing.T) {
	f := newServing(t)
	t.Run("open flow", func(t *testing.T) {
		o := f.flow(newAddress)
		o.token = table.Token(1)
		isDropped(t, o.data(10), "no_route")
	})
	t.Run("opening without a recent confirmation", func(t *testing.T) {
		f.pass(3 * time.Second)
		isDropped(t, f.flow(newAddress).open(0), "no_route_unconfirmed")
	})
}

// Guards against a decision that the log does not explain.
func TestDecisionsAreLogged(t *testing.T) {
	f := newServing(t)
	f.pass(700 * time.Millisecond)
	o := f.flow(deskAddress)
	for _, e := range o.open(0) {
		ev, ok := e.(*effect.Event)
		if !ok {
			continue
		}
		if ev.Name != "flow_placed" || ev.Client != o.id.Client || ev.Address != deskAddress || ev.Upstream == "" ||
			ev.Revision != f.routing || ev.ListRevision != f.list || ev.Age != 700*time.Millisecond || ev.Candidates != 2 {
			t.Errorf("event %+v lacks what the decision was based on", ev)
		}
		return
	}
	t.Error("no event for a placed flow")
}
