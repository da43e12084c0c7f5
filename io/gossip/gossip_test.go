package gossip

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretdock/core/fault"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
)

var (
	key          = []byte("0123456789abcdef")
	startTime    = time.Unix(1_796_371_200, 0)
	compareAddrs = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	ipv4Balancer = model.Balancer{
		Name: "balancer-1", DataCentre: "dc-1", Incarnation: 3,
		Peer: netip.MustParseAddrPort("10.0.0.1:7100"), Fetch: netip.MustParseAddrPort("10.0.0.1:7101"), Capacity: 134,
	}
	ipv6Balancer = model.Balancer{Name: "balancer-2", Peer: netip.MustParseAddrPort("[fd00::2]:7100"), Fetch: netip.MustParseAddrPort("10.9.0.2:7101")}
	flow         = packet.FlowID{Client: netip.MustParseAddrPort("100.64.0.7:40001"), Address: netip.MustParseAddrPort("198.18.0.1:443")}
	header       = member.Header{Seq: 9, From: ipv4Balancer, Revision: 77, Digest: 1 << 63, Updates: []member.Update{
		{Balancer: ipv6Balancer},
		{Balancer: model.Balancer{Name: "balancer-3", Incarnation: 1 << 60}, Status: member.StatusDead},
	}}
	messages = []member.Message{
		&member.Ping{Header: header}, &member.Ack{Header: header}, &member.PingRequest{Header: header, Target: ipv6Balancer},
		&member.Pull{Header: header, After: "balancer-2"}, &member.Page{Header: header, Next: "balancer-4"},
		&member.Ping{Header: member.Header{From: ipv6Balancer}},
		&member.Findings{Header: member.Header{From: ipv4Balancer}, List: []member.Finding{{Instance: 1 << 63, Failures: 1}, {Instance: 7, Failures: 300}}},
		&member.FlowQuery{Header: member.Header{From: ipv4Balancer}, Flow: flow},
		&member.FlowReport{Header: member.Header{From: ipv4Balancer}, Flow: flow, Start: 1 << 31, Open: true, Instances: []uint64{1 << 63}},
		&member.FlowReport{Header: member.Header{From: ipv4Balancer}, Flow: flow, Instances: []uint64{1, 2, 3, 4}},
	}
)

func newSealerAndOpener(t testing.TB, sender uint64) (*Sealer, *Opener) {
	t.Helper()
	s, err := NewSealer(key, sender)
	if err != nil {
		t.Fatal(err)
	}
	o, err := NewOpener(key)
	if err != nil {
		t.Fatal(err)
	}
	return s, o
}

func assertOpens(t *testing.T, o *Opener, frame []byte, want member.Message) {
	t.Helper()
	got, err := o.Open(startTime, frame)
	if err != nil {
		t.Fatalf("Open() = %v", err)
	}
	if diff := cmp.Diff(want, got, compareAddrs); diff != "" {
		t.Errorf("message differs (-sent +received):\n%s", diff)
	}
}

func assertRejects(t *testing.T, o *Opener, frame []byte, want fault.Kind) {
	t.Helper()
	m, err := o.Open(startTime, frame)
	if err == nil || m != nil || fault.KindOf(err) != want {
		t.Errorf("Open() = %v, %v; want an error of kind %v", m, err, want)
	}
}

// Guards against fields that are lost or mixed up in the encoding.
func TestRoundTrip(t *testing.T) {
	s, o := newSealerAndOpener(t, 1)
	for _, m := range messages {
		assertOpens(t, o, s.Seal(m), m)
	}
}

// Guards against one balancer that counts as two because one of its addresses is
// written as an IPv4 address in an IPv6 one.
func TestMappedAddress(t *testing.T) {
	s, o := newSealerAndOpener(t, 1)
	mapped, plain := ipv4Balancer, ipv4Balancer
	mapped.Peer = netip.AddrPortFrom(netip.AddrFrom16(plain.Peer.Addr().As16()), plain.Peer.Port())
	assertOpens(t, o, s.Seal(&member.Ping{Header: member.Header{From: mapped}}), &member.Ping{Header: member.Header{From: plain}})
}

func TestRejectedFrames(t *testing.T) {
	s, o := newSealerAndOpener(t, 1)
	frame := s.Seal(messages[0])
	// Guards against messages from senders outside the fleet.
	t.Run("altered", func(t *testing.T) {
		for i := range frame {
			bad := append([]byte(nil), frame...)
			bad[i] ^= 1
			assertRejects(t, o, bad, fault.KindUnauthentic)
		}
	})
	t.Run("other key", func(t *testing.T) {
		other, err := NewOpener([]byte("fedcba9876543210"))
		if err != nil {
			t.Fatal(err)
		}
		assertRejects(t, other, frame, fault.KindUnauthentic)
	})
	t.Run("short key", func(t *testing.T) {
		if _, err := NewSealer(key[:15], 1); fault.KindOf(err) != fault.KindInvalid {
			t.Errorf("NewSealer() = %v, want kind invalid", err)
		}
	})
	// Guards against accepting a message without an address or of unbounded
	// size from a peer that is faulty or runs another version.
	for name, m := range map[string]member.Message{
		"no sender":        &member.Ping{},
		"no target":        &member.PingRequest{Header: header},
		"unknown status":   &member.Ping{Header: member.Header{From: ipv4Balancer, Updates: []member.Update{{Balancer: ipv4Balancer, Status: 9}}}},
		"nameless update":  &member.Ping{Header: member.Header{From: ipv4Balancer, Updates: make([]member.Update, 1)}},
		"too many updates": &member.Ping{Header: member.Header{From: ipv4Balancer, Updates: slices.Repeat([]member.Update{{Balancer: ipv6Balancer}}, member.MaxUpdates+1)}},
		"long name":        &member.Pull{Header: header, After: string(make([]byte, maxNameSize+1))},
	} {
		t.Run(name, func(t *testing.T) { assertRejects(t, o, s.Seal(m), fault.KindInvalid) })
	}
	t.Run("truncated", func(t *testing.T) { assertRejects(t, o, frame[:tagSize-1], fault.KindInvalid) })
	t.Run("oversized", func(t *testing.T) { assertRejects(t, o, make([]byte, MaxFrameSize+1), fault.KindInvalid) })
}

// Guards against accepting replayed frames, and against rejecting frames that
// arrive out of order.
func TestReplay(t *testing.T) {
	s, o := newSealerAndOpener(t, 1)
	frames := make([][]byte, windowSize+2)
	for i := range frames {
		frames[i] = s.Seal(messages[0])
	}
	last := len(frames) - 1
	for _, i := range []int{3, 2, last, last - 1} {
		assertOpens(t, o, frames[i], messages[0])
		assertRejects(t, o, frames[i], fault.KindUnauthentic)
	}
	t.Run("too late", func(t *testing.T) { assertRejects(t, o, frames[1], fault.KindUnauthentic) })
	t.Run("other sender", func(t *testing.T) {
		s, _ := newSealerAndOpener(t, 2)
		assertOpens(t, o, s.Seal(messages[0]), messages[0])
	})
	// Guards against memory that grows with each restart in the fleet, and
	// against forgetting a sender that is still active.
	t.Run("bounded memory", func(t *testing.T) {
		var r replayFilter
		for i := range uint64(3 * maxSenders) {
			now := startTime.Add(time.Duration(i) * time.Second)
			r.accept(now, i+2, 1)
			r.accept(now, 1, i+1)
		}
		if len(r.windows) > maxSenders {
			t.Errorf("%d senders are remembered, want at most %d", len(r.windows), maxSenders)
		}
		if r.accept(startTime, 1, 3*maxSenders) {
			t.Error("a frame of an active sender was accepted twice")
		}
	})
}

// Guards against input that crashes the decoder, and against messages that
// change when they are encoded again.
func FuzzDecode(f *testing.F) {
	s, o := newSealerAndOpener(f, 1)
	for _, m := range messages {
		frame := s.Seal(m)
		f.Add(frame[:len(frame)-tagSize])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := decode(body)
		if err != nil {
			return
		}
		if _, err := o.Open(startTime, body); err == nil {
			t.Fatal("a frame without a tag was accepted")
		}
		again, err := decode(appendMessage(appendUint(nil, fieldCounter, 1), got.message))
		if err != nil {
			t.Fatalf("the message can't be decoded again: %v", err)
		}
		if diff := cmp.Diff(got.message, again.message, compareAddrs); diff != "" {
			t.Errorf("message changed (-first +second):\n%s", diff)
		}
	})
}
