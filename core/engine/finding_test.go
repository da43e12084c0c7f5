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

// peer returns a balancer and makes it live in the view of f.
func (f *front) peer(name, dataCentre string, host byte) model.Balancer {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, host}), 7000)
	b := model.Balancer{Name: name, DataCentre: dataCentre, Incarnation: 1, Peer: at, Fetch: at}
	f.give(&input.Gossip{Message: &member.Ping{Header: member.Header{From: b}}})
	return b
}

// found returns the findings among effects, by receiver.
func found(es []effect.Effect) map[netip.AddrPort][]member.Finding {
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

func said(es []effect.Effect, name string) bool {
	for _, e := range es {
		if ev, ok := e.(*effect.Event); ok && ev.Name == name {
			return true
		}
	}
	return false
}

// tick lets time pass and returns what the balancer does then.
func (f *front) tick(d time.Duration) []effect.Effect {
	f.pass(d)
	return f.give(&input.Tick{})
}

// answered acknowledges the answer to the last data.
func (o *opaque) answered() {
	o.f.give(&input.FlowContinue{Segment: packet.Segment{Flow: o.id, Token: o.token, Seq: o.seq, Ack: 900, Raw: []byte("ack")}})
}

// Guards against an instance that accepts flows, answers nothing and keeps
// getting new ones: no packet of its clients shows it.
func TestOverdueAnswer(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		f := newServing(t)
		silent := f.flow(feedAddress).mustOpen()
		if said(f.tick(300*time.Millisecond), "answer_overdue") {
			t.Error("answer overdue after 300 ms, want time for a lost packet")
		}
		if !said(f.tick(200*time.Millisecond), "answer_overdue") {
			t.Fatal("answer not overdue after 500 ms")
		}
		if said(f.tick(200*time.Millisecond), "answer_overdue") {
			t.Error("one answer is overdue twice")
		}
		for range 4 {
			if got := f.flow(feedAddress).mustOpen(); got == silent {
				t.Errorf("a new flow went to instance %d, which answers nothing", got)
			}
		}
	})
	t.Run("others are answered", func(t *testing.T) {
		f := newFront(t)
		f.route(feedAddress)
		f.listed(one(1, "ain"))
		f.flow(feedAddress).mustOpen()
		other := f.flow(feedAddress)
		other.mustOpen()
		f.pass(100 * time.Millisecond)
		other.answered()
		if said(f.tick(time.Second), "answer_overdue") {
			t.Error("answer overdue at an instance that answers others since")
		}
	})
	t.Run("answered", func(t *testing.T) {
		f := newServing(t)
		o := f.flow(feedAddress)
		o.mustOpen()
		f.pass(100 * time.Millisecond)
		o.answered()
		if said(f.tick(10*time.Second), "answer_overdue") {
			t.Error("an answer that came is overdue")
		}
	})
}

// Guards against balancers that each have to fail at an instance before they
// avoid it.
func TestFindingsAreTold(t *testing.T) {
	f := newServing(t)
	near, far := f.peer("b2", "ain", 2), f.peer("b3", "sidi", 3)
	failed := f.flow(feedAddress).mustOpen()
	told := found(f.tick(500 * time.Millisecond))
	t.Run("to the own data centre only", func(t *testing.T) {
		if len(told[near.Peer]) != 1 || told[near.Peer][0].Instance != failed {
			t.Errorf("the neighbour is told %v, want the failure of instance %d", told[near.Peer], failed)
		}
		if _, ok := told[far.Peer]; ok {
			t.Error("a balancer of another data centre is told")
		}
	})
	t.Run("not to all of many", func(t *testing.T) {
		g := newServing(t)
		for i := range 40 {
			g.peer(fmt.Sprintf("p%d", i), "ain", byte(10+i))
		}
		g.flow(feedAddress).mustOpen()
		if n := len(found(g.tick(500 * time.Millisecond))); n != 12 {
			t.Errorf("%d of 40 neighbours are told at a time, want 12", n)
		}
	})
	t.Run("once", func(t *testing.T) {
		if again := found(f.tick(tellInterval)); len(again) > 0 {
			t.Errorf("told again: %v", again)
		}
	})
	t.Run("and believed of two", func(t *testing.T) {
		g := newServing(t)
		tell := func(name string, host byte) []effect.Effect {
			return g.give(&input.Gossip{Message: &member.Findings{
				Header: member.Header{From: g.peer(name, "ain", host)}, List: []member.Finding{{Instance: 1, Failures: 1}, {Instance: 99, Failures: 1}},
			}})
		}
		if said(tell("b2", 2), "instance_shunned") {
			t.Error("instance set aside on the word of one balancer")
		}
		if !said(tell("b4", 4), "instance_shunned") {
			t.Error("instance not set aside on the word of two balancers")
		}
		for range 4 {
			if got := g.flow(feedAddress).mustOpen(); got == 1 {
				t.Error("a new flow went to the instance that two others have seen fail")
			}
		}
	})
}

// tellInterval is above the interval at which balancers tell each other.
const tellInterval = 300 * time.Millisecond
