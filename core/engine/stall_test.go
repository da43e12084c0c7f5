package engine_test

import (
	"testing"
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/packet"
	"egretdock/core/table"
)

// Guards against a process that did not run for a time and then places the openings
// that waited in its socket: their clients have opened their flows through another
// balancer, and the late answers lead them to the wrong instance.
func TestOpeningThatWaited(t *testing.T) {
	t.Run("longer than its client", func(t *testing.T) {
		o := newServingHarness(t).flow(deskAddress)
		o.waited = openTimeout
		wantDropped(t, o.open(0), "opening_expired")
	})
	t.Run("flow is open elsewhere", func(t *testing.T) {
		z, b := newZone(t, 2)
		o := b[0].flow(deskAddress)
		wantDelivered(t, o.open(0))
		first := wantDelivered(t, o.open(1))
		o.token = table.OpeningToken(first)
		o.sendData(10)
		// The other balancer has not run, nor got the report.
		o.f, o.opened, o.seq, o.waited = b[1], false, clientStart+1, 500*time.Millisecond
		b[1].handle(&input.Tick{})
		late := wantDelivered(t, b[1].placeElsewhere(o, first))
		o.token, o.waited = table.OpeningToken(late), 0
		es := o.sendData(10)
		wantHeld(t, es)
		z.delivered = nil
		z.pass(es)
		if len(z.delivered) != 1 || z.delivered[0] != first {
			t.Errorf("the packet goes to instances %v, the flow is open at %d", z.delivered, first)
		}
	})
	t.Run("flow is open nowhere", func(t *testing.T) {
		z, b := newZone(t, 2)
		o := b[0].flow(deskAddress)
		o.waited = 500 * time.Millisecond
		id := wantDelivered(t, o.open(0))
		o.token, o.waited = table.OpeningToken(id), 0
		es := o.sendData(10)
		wantHeld(t, es)
		z.pass(es)
		b[0].advance(table.ReportTime)
		if got := wantDelivered(t, b[0].handle(&input.Wake{})); got != id {
			t.Errorf("the held packet goes to instance %d, want %d", got, id)
		}
	})
}

// openTimeout is the time after which a client gives up an opening.
const openTimeout = 1400 * time.Millisecond

// placeElsewhere sends the opening of a flow until it goes to another instance than
// the given one.
func (f *directHarness) placeElsewhere(o *opaqueFlow, id uint64) []effect.Effect {
	for retransmit := range uint32(3) {
		es := o.open(retransmit)
		if d, ok := es[0].(*effect.Deliver); ok && d.Instance != id {
			return es
		}
	}
	f.t.Fatal("no other instance")
	return nil
}

// Guards against a process that did not run for a time and then blames instances
// for openings that it sent before, and sends them to others.
func TestOpeningSentBeforeStall(t *testing.T) {
	f := newServingHarness(t)
	wantDelivered(t, f.flow(deskAddress).open(0))
	f.advance(3 * time.Second)
	for _, in := range []input.Input{&input.Wake{}, &input.Tick{}} {
		for _, e := range f.handle(in) {
			if _, ok := e.(*effect.Deliver); ok {
				t.Errorf("the opening is sent to another instance 3 s later by %T", in)
			}
		}
	}
}

// Guards against a token of an opening that is taken for proof that the flow is open
// there, although the process did not run since and the flow is open elsewhere.
func TestFlowOpenedDuringStall(t *testing.T) {
	z, b := newZone(t, 2)
	o := b[0].flow(deskAddress)
	id := wantDelivered(t, o.open(0))
	o.f = b[1]
	other := wantDelivered(t, b[1].placeElsewhere(o, id))
	o.token = table.OpeningToken(other)
	wantDelivered(t, o.sendData(10))
	b[0].advance(3 * time.Second)
	o.f, o.seq, o.waited = b[0], clientStart+1, 3*time.Second
	o.token = table.OpeningToken(id)
	es := o.sendData(10)
	wantHeld(t, es)
	z.delivered = nil
	z.pass(es)
	if len(z.delivered) != 1 || z.delivered[0] != other {
		t.Errorf("the packet goes to instances %v, the flow is open at %d", z.delivered, other)
	}
}

// Guards against a process that did not run for a time and then runs work that its
// client has given up, as the packet's timeout counts from when it was read.
func TestPacketExpiresDuringStall(t *testing.T) {
	const timeout = time.Second
	for name, body := range map[string]packet.Body{"opening": &packet.Open{Timeout: timeout}, "request": &packet.Request{ID: 1, Timeout: timeout}} {
		t.Run(name, func(t *testing.T) {
			p := packet.Packet{Body: body}
			wantLeft(t, p, 400*time.Millisecond, 600*time.Millisecond)
			wantLeft(t, p, 0, timeout)
			f := newDirectHarness(t)
			for _, in := range []input.Input{
				&input.FromClient{Packet: p, Waited: timeout},
				&input.FromPeer{Relay: input.Relay{Packet: p}, Waited: timeout},
			} {
				es := f.handle(in)
				if len(es) != 1 || !hasEvent(es, "packet_dropped") {
					t.Errorf("an expired packet has the effects %v, want only that it is dropped", es)
				}
			}
		})
	}
}

// wantLeft checks how much of its timeout a packet has left after a wait.
func wantLeft(t *testing.T, p packet.Packet, waited, want time.Duration) {
	t.Helper()
	next, ok := p.WithWait(waited)
	var left time.Duration
	switch b := next.Body.(type) {
	case *packet.Open:
		left = b.Timeout
	case *packet.Request:
		left = b.Timeout
	default:
	}
	if !ok || left != want {
		t.Errorf("%s are left after %s (%t), want %s", left, waited, ok, want)
	}
}

// Guards against the refusal of an address whose route was added while the host was
// suspended: by the steady clock, the routes look as if they had just been confirmed.
func TestNoRouteAfterStall(t *testing.T) {
	f := newServingHarness(t)
	wantReset(t, f.flow(newAddress).open(0), "no_route")
	f.advance(time.Millisecond)
	f.handle(&input.Tick{Stalled: 5 * time.Second})
	wantDropped(t, f.flow(newAddress).open(0), "no_route_unconfirmed")
	t.Run("until the routes are confirmed again", func(t *testing.T) {
		f.advance(time.Millisecond)
		f.handle(&input.RoutesConfirmed{})
		wantReset(t, f.flow(newAddress).open(0), "no_route")
	})
}
