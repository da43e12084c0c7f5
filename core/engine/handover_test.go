package engine_test

import (
	"net/netip"
	"testing"
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/table"
)

// zone is a group of balancers that pass on each other's messages.
type zone struct {
	balancers map[netip.AddrPort]*directHarness
	members   []model.Balancer
	// reports counts the reports of flows that were sent.
	reports int
	// delivered holds the instances that got packets when messages were passed.
	delivered []uint64
}

// newZone returns n balancers of one data centre that know the same routes,
// instances and members.
func newZone(t *testing.T, n int) (*zone, []*directHarness) {
	z := &zone{balancers: make(map[netip.AddrPort]*directHarness)}
	list := make([]*directHarness, n)
	for i := range list {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7000)
		z.members = append(z.members, model.Balancer{Name: "b" + string(rune('1'+i)), DataCentre: "ain", Incarnation: 1, Peer: at, Fetch: at})
		list[i] = z.start(t, i)
	}
	return z, list
}

// start starts the balancer with an index, in place of the one that had it.
func (z *zone) start(t *testing.T, i int) *directHarness {
	f := newServingHarness(t)
	self := z.members[i]
	self.Incarnation++
	f.engine.Self, z.members[i] = self, self
	for j, b := range z.members {
		if j != i {
			f.handle(&input.Gossip{Message: &member.Ping{Header: member.Header{From: b}}})
			if other := z.balancers[b.Peer]; other != nil {
				other.handle(&input.Gossip{Message: &member.Ping{Header: member.Header{From: self}}})
				f.now = other.now
			}
		}
	}
	z.balancers[self.Peer] = f
	return f
}

// pass delivers the questions and reports about flows among es, and the answers.
func (z *zone) pass(es []effect.Effect) {
	for _, e := range append([]effect.Effect(nil), es...) {
		if d, ok := e.(*effect.Deliver); ok {
			z.delivered = append(z.delivered, d.Instance)
		}
		g, ok := e.(*effect.Gossip)
		if !ok || z.balancers[g.To] == nil {
			continue
		}
		switch g.Message.(type) {
		case *member.FlowReport:
			z.reports++
		case *member.FlowQuery:
		default:
			continue
		}
		z.pass(z.balancers[g.To].handle(&input.Gossip{Message: g.Message}))
	}
}

// hedgedFlow opens a flow whose opening went to two instances, both of which have
// answered. The client has the token of the other one. It returns the flow and the
// instance that it is open at.
func (z *zone) hedgedFlow(f *directHarness) (*opaqueFlow, uint64) {
	o := f.flow(deskAddress)
	wantDelivered(f.t, o.open(0))
	f.advance(50 * time.Millisecond)
	second := wantDelivered(f.t, f.handle(&input.Wake{}))
	return z.answeredFlow(o, second)
}

// answeredFlow lets the client open the flow at an instance and then get the late
// answer of another one.
func (z *zone) answeredFlow(o *opaqueFlow, id uint64) (*opaqueFlow, uint64) {
	o.token = table.OpeningToken(id)
	es := o.sendData(10)
	wantDelivered(o.f.t, es)
	z.pass(es)
	o.token = table.OpeningToken(3 - id)
	return o, id
}

// wantHeld checks that nothing is sent to an instance or to the client yet, and
// that this is logged.
func wantHeld(t *testing.T, es []effect.Effect) {
	t.Helper()
	for _, e := range es {
		switch e := e.(type) {
		case *effect.Deliver:
			t.Errorf("packet delivered to instance %d, want it held", e.Instance)
		case *effect.ResetFlow:
			t.Error("flow reset, want the packet held")
		default:
		}
	}
	if !hasEvent(es, "packet_held") {
		t.Error("no packet_held")
	}
}

// Guards against the reset of a flow whose opening went to two instances: its
// client returns the token of the one that answered last, and the balancer that
// saw the opening is gone.
func TestHedgedFlowOutlivesItsBalancer(t *testing.T) {
	wantFlowAt := func(t *testing.T, o *opaqueFlow, f *directHarness, id uint64) {
		t.Helper()
		o.f = f
		if got := wantDelivered(t, o.sendData(10)); got != id {
			t.Errorf("packet goes to instance %d, the flow is open at %d", got, id)
		}
	}
	t.Run("killed", func(t *testing.T) {
		z, b := newZone(t, 2)
		o, id := z.hedgedFlow(b[0])
		delete(z.balancers, b[0].engine.Self.Peer)
		wantFlowAt(t, o, b[1], id)
	})
	t.Run("idle before the next packet", func(t *testing.T) {
		z, b := newZone(t, 2)
		o, id := z.hedgedFlow(b[0])
		for range 20 {
			b[1].tick(time.Second)
		}
		wantFlowAt(t, o, b[1], id)
	})
	t.Run("all stopped in turn", func(t *testing.T) {
		z, b := newZone(t, 3)
		o, id := z.hedgedFlow(b[0])
		for i := range b {
			es := b[i].handle(&input.Leave{})
			z.pass(es)
			b[i] = z.start(t, i)
			for _, f := range b {
				f.advance(time.Second)
			}
		}
		o.f = b[0]
		z.pass(o.sendData(0))
		wantFlowAt(t, o, b[0], id)
	})
	t.Run("unknown to all others", func(t *testing.T) {
		z, b := newZone(t, 1)
		o, _ := z.hedgedFlow(b[0])
		o.f = z.start(t, 0)
		wantHeld(t, o.sendData(10))
	})
}

// Guards against the reset of an open flow when a copy of its opening that was
// delayed reaches another balancer, and the client returns the token of the
// instance that answered it.
func TestLateOpeningAtAnotherBalancer(t *testing.T) {
	z, b := newZone(t, 2)
	var o *opaqueFlow
	var id, late uint64
	for id == late {
		o = b[0].flow(deskAddress)
		id = o.mustOpen()
		o.f, o.opened = b[1], false
		late = wantDelivered(t, o.open(0))
	}
	o.token = table.OpeningToken(late)
	b[1].advance(250 * time.Millisecond)
	es := o.sendData(0)
	wantHeld(t, es)
	z.pass(es)
	if got := wantDelivered(t, o.sendData(10)); got != id {
		t.Errorf("packet goes to instance %d, the flow is open at %d", got, id)
	}
}

// Guards against flows that fail because the routers move them between the opening
// and the first data.
func TestFlowMovesDuringItsOpening(t *testing.T) {
	z, b := newZone(t, 2)
	o := b[0].flow(deskAddress)
	id := wantDelivered(t, o.open(0))
	o.token, o.f = table.OpeningToken(id), b[1]
	es := o.sendData(10)
	wantHeld(t, es)
	z.delivered = nil
	z.pass(es)
	if len(z.delivered) != 1 || z.delivered[0] != id {
		t.Errorf("the packet goes to instances %v once another balancer has answered, want %d, which has answered the opening", z.delivered, id)
	}
}

// Guards against flows that fail because the routers move them, between the opening
// and the first data, to a balancer that has just started and knows none to ask.
func TestFlowMovesToNewBalancer(t *testing.T) {
	z, b := newZone(t, 2)
	o := b[0].flow(deskAddress)
	id := wantDelivered(t, o.open(0))
	started := newServingHarness(t)
	self := model.Balancer{Name: "b9", DataCentre: "ain", Incarnation: 1, Peer: netip.MustParseAddrPort("10.1.0.9:7000"), Fetch: netip.MustParseAddrPort("10.1.0.9:7000")}
	started.engine.Self = self
	z.balancers[self.Peer] = started
	o.token, o.f = table.OpeningToken(id), started
	wantHeld(t, o.sendData(10))
	z.delivered = nil
	z.pass(b[0].handle(&input.Gossip{Message: &member.Ping{Header: member.Header{From: self}}}))
	if len(z.delivered) != 1 || z.delivered[0] != id {
		t.Errorf("the packet goes to instances %v once the new balancer is known, want %d", z.delivered, id)
	}
}

// Guards against uploads whose packets overtake the first one and are then lost,
// or reach an instance before the flow is open there.
func TestReorderedFirstPackets(t *testing.T) {
	f := newServingHarness(t)
	o := f.flow(deskAddress)
	o.token = table.OpeningToken(wantDelivered(t, o.open(1)))
	o.seq += 10
	for range 3 {
		wantHeld(t, o.sendData(10))
	}
	o.seq = clientStart + 1
	n := 0
	for _, e := range o.sendData(10) {
		if _, ok := e.(*effect.Deliver); ok {
			n++
		}
	}
	if n != 4 {
		t.Errorf("%d packets are delivered with the first one, want it and the three that overtook it", n)
	}
}

// Guards against messages between balancers for each flow or for each packet.
func TestFlowMessagesAreFew(t *testing.T) {
	t.Run("none for a flow whose opening went to one instance", func(t *testing.T) {
		z, b := newZone(t, 3)
		o := b[0].flow(deskAddress)
		o.token = table.OpeningToken(wantDelivered(t, o.open(0)))
		z.pass(o.sendData(10))
		if z.reports != 0 {
			t.Errorf("%d reports, want none", z.reports)
		}
	})
	t.Run("one question for many packets", func(t *testing.T) {
		_, b := newZone(t, 2)
		o := b[0].flow(deskAddress)
		o.token = table.OpeningToken(1)
		questions := 0
		for range 16 {
			for _, e := range o.sendData(10) {
				if g, ok := e.(*effect.Gossip); ok {
					if _, ok := g.Message.(*member.FlowQuery); ok {
						questions++
					}
				}
			}
		}
		if questions != 1 {
			t.Errorf("%d questions, want 1", questions)
		}
	})
}

// Guards against a flow that is sent to the instance of an earlier flow of the same
// port.
func TestPortIsUsedAgain(t *testing.T) {
	f := newServingHarness(t)
	o := f.flow(deskAddress)
	first := o.mustOpen()
	other := 3 - first
	o.token = table.Token(other)
	if got := wantDelivered(t, o.sendData(10)); got != other {
		t.Errorf("packet goes to instance %d, the flow is open at %d", got, other)
	}
}
