package engine_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// addPeer adds a live balancer to the members that f sees.
func (f *directHarness) addPeer(name, dataCentre string, host byte) model.Balancer {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, host}), 7000)
	b := model.Balancer{Name: name, DataCentre: dataCentre, Incarnation: 1, Peer: at, Fetch: at}
	f.handle(&input.Gossip{Message: &member.Ping{Header: member.Header{From: b}}})
	return b
}

// sentFindings returns the findings that es sends, by receiver.
func sentFindings(es []effect.Effect) map[netip.AddrPort][]member.Finding {
	out := make(map[netip.AddrPort][]member.Finding)
	for _, e := range es {
		if g, ok := e.(*effect.Gossip); ok {
			if m, ok := g.Message.(*member.Findings); ok {
				out[g.To] = m.List
			}
		}
	}
	return out
}

// hasEvent reports whether es contains an event with the name.
func hasEvent(es []effect.Effect, name string) bool {
	for _, e := range es {
		if ev, ok := e.(*effect.Event); ok && ev.Name == name {
			return true
		}
	}
	return false
}

// tick advances the time by d and returns the effects of a tick.
func (f *directHarness) tick(d time.Duration) []effect.Effect {
	f.advance(d)
	return f.handle(&input.Tick{})
}

// acknowledgeAnswer sends the client's acknowledgement of the answer to its last
// data.
func (o *opaqueFlow) acknowledgeAnswer() {
	o.f.handle(&input.FlowContinue{Segment: packet.Segment{Flow: o.id, Token: o.token, Seq: o.seq, Ack: 900, Raw: []byte("ack")}})
}

// Guards against placing new flows at an instance that accepts flows but answers
// nothing. No packet of its clients shows the failure.
func TestOverdueAnswer(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		f := newServingHarness(t)
		silent := f.flow(feedAddress).mustOpen()
		if hasEvent(f.tick(300*time.Millisecond), "answer_overdue") {
			t.Error("answer overdue after 300 ms, want time for a lost packet")
		}
		if !hasEvent(f.tick(200*time.Millisecond), "answer_overdue") {
			t.Fatal("answer not overdue after 500 ms")
		}
		if hasEvent(f.tick(200*time.Millisecond), "answer_overdue") {
			t.Error("one overdue answer is reported twice")
		}
		for range 4 {
			if got := f.flow(feedAddress).mustOpen(); got == silent {
				t.Errorf("a new flow went to instance %d, which answers nothing", got)
			}
		}
	})
	t.Run("others are answered", func(t *testing.T) {
		f := newDirectHarness(t)
		f.setRoutes(feedAddress)
		f.setInstances(testInstance(1, "ain"))
		f.flow(feedAddress).mustOpen()
		other := f.flow(feedAddress)
		other.mustOpen()
		f.advance(100 * time.Millisecond)
		other.acknowledgeAnswer()
		if hasEvent(f.tick(time.Second), "answer_overdue") {
			t.Error("answer overdue at an instance that has answered another flow since")
		}
	})
	t.Run("answered", func(t *testing.T) {
		f := newServingHarness(t)
		o := f.flow(feedAddress)
		o.mustOpen()
		f.advance(100 * time.Millisecond)
		o.acknowledgeAnswer()
		if hasEvent(f.tick(10*time.Second), "answer_overdue") {
			t.Error("a received answer is reported as overdue")
		}
	})
}

// Guards against balancers that avoid a failing instance only after failures of
// their own.
func TestFindingsAreSent(t *testing.T) {
	f := newServingHarness(t)
	near, far := f.addPeer("b2", "ain", 2), f.addPeer("b3", "sidi", 3)
	failed := f.flow(feedAddress).mustOpen()
	sent := sentFindings(f.tick(500 * time.Millisecond))
	t.Run("only to the same data centre", func(t *testing.T) {
		if len(sent[near.Peer]) != 1 || sent[near.Peer][0].Instance != failed {
			t.Errorf("findings sent to the neighbour: %v, want the failure of instance %d", sent[near.Peer], failed)
		}
		if _, ok := sent[far.Peer]; ok {
			t.Error("findings are sent to a balancer of another data centre")
		}
	})
	t.Run("to a limited number of balancers", func(t *testing.T) {
		g := newServingHarness(t)
		for i := range 40 {
			g.addPeer(fmt.Sprintf("p%d", i), "ain", byte(10+i))
		}
		g.flow(feedAddress).mustOpen()
		if n := len(sentFindings(g.tick(500 * time.Millisecond))); n != 12 {
			t.Errorf("findings are sent to %d of 40 neighbours at a time, want 12", n)
		}
	})
	t.Run("once", func(t *testing.T) {
		if again := sentFindings(f.tick(pastFindingsInterval)); len(again) > 0 {
			t.Errorf("findings are sent again: %v", again)
		}
	})
	t.Run("and applied when two balancers agree", func(t *testing.T) {
		g := newServingHarness(t)
		receiveFrom := func(name string, host byte) []effect.Effect {
			return g.handle(&input.Gossip{Message: &member.Findings{
				Header: member.Header{From: g.addPeer(name, "ain", host)}, List: []member.Finding{{Instance: 1, Failures: 1}, {Instance: 99, Failures: 1}},
			}})
		}
		if hasEvent(receiveFrom("b2", 2), "instance_shunned") {
			t.Error("instance avoided after the findings of one balancer")
		}
		if !hasEvent(receiveFrom("b4", 4), "instance_shunned") {
			t.Error("instance not avoided after the findings of two balancers")
		}
		for range 4 {
			if got := g.flow(feedAddress).mustOpen(); got == 1 {
				t.Error("a new flow went to the instance that failed at two other balancers")
			}
		}
	})
}

// pastFindingsInterval is longer than the interval at which findings are sent.
const pastFindingsInterval = 300 * time.Millisecond
