package dgram

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/input"
	"egretdock/io/stall"
	"egretdock/platform"
)

// Guards against openings that waited in a socket while the process did not run and
// count as fresh, and against later ones that count as old.
func TestPacketsWaitDuringStall(t *testing.T) {
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	_ = s.conn.SetDeadline(time.Now().Add(ioTimeout))
	client, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	now, elapsed := time.Now().Add(-3*time.Second), time.Duration(0)
	stalls := &stall.Meter{Now: func() time.Time { return now }, Elapsed: func() time.Duration { return elapsed }}
	stalls.Beat()
	var counters Counters
	src := NewFlowSource(s, stalls, &counters)
	opening := platform.AppendPacket(nil, platform.PacketHeader{From: sender.Peer, To: sender.Peer, Open: true}, nil)
	wantWaited := func(low, high time.Duration) {
		t.Helper()
		if _, err := client.Write(opening); err != nil {
			t.Fatal(err)
		}
		err := src.Read(func(in input.Input) {
			if got := in.(*input.FlowOpen).Segment.Waited; got < low || got > high {
				t.Errorf("the opening has waited for %s, want %s to %s", got, low, high)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	const bindTime = 5 * time.Second
	s.boundAt = time.Now().Add(-bindTime)
	wantWaited(bindTime, bindTime+ioTimeout)
	wantWaited(0, 0)
	now, elapsed = time.Now(), 3*time.Second
	wantWaited(3*time.Second, 3*time.Second+ioTimeout)
	wantWaited(0, 0)
}
