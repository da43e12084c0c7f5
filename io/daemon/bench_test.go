package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/io/wire"
)

// BenchmarkForward compares a daemon that forwards data of an established flow
// to an echoing upstream and back with a plain UDP relay, in one run. The metric
// ratio is the packet rate of the daemon divided by that of the relay.
func BenchmarkForward(b *testing.B) {
	echo := listen(b)
	go echoLoop(echo)
	upstream := echo.LocalAddr().(*net.UDPAddr).AddrPort()

	relay := listen(b)
	back := listen(b)
	go relayLoop(relay, back, upstream)

	entry, datagram := startDaemon(b, upstream)
	for b.Loop() {
		relayRate := measureRoundTrips(b, relay.LocalAddr().(*net.UDPAddr).AddrPort(), datagram)
		daemonRate := measureRoundTrips(b, entry, datagram)
		b.ReportMetric(daemonRate, "daemon_packets/s")
		b.ReportMetric(relayRate, "relay_packets/s")
		b.ReportMetric(daemonRate/relayRate, "ratio")
	}
}

const (
	benchDuration = 400 * time.Millisecond
	benchWindow   = 64
)

// measureRoundTrips returns the round trips a second with benchWindow packets
// in flight.
func measureRoundTrips(b *testing.B, to netip.AddrPort, datagram []byte) float64 {
	c := listen(b)
	defer c.Close()
	var received atomic.Int64
	tokens := make(chan struct{}, benchWindow)
	for range benchWindow {
		tokens <- struct{}{}
	}
	go func() {
		buf := make([]byte, 2048)
		for {
			if _, _, err := c.ReadFromUDPAddrPort(buf); err != nil {
				return
			}
			received.Add(1)
			select {
			case tokens <- struct{}{}:
			default:
			}
		}
	}()
	start := time.Now()
	refill := time.NewTicker(20 * time.Millisecond)
	defer refill.Stop()
	for time.Since(start) < benchDuration {
		select {
		case <-tokens:
			_, _ = c.WriteToUDPAddrPort(datagram, to)
		case <-refill.C: // replaces the tokens of lost packets
			select {
			case tokens <- struct{}{}:
			default:
			}
		}
	}
	return float64(received.Load()) / time.Since(start).Seconds()
}

func listen(b *testing.B) *net.UDPConn {
	b.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	_ = c.SetReadBuffer(4 << 20)
	b.Cleanup(func() { _ = c.Close() })
	return c
}

func echoLoop(c *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		_, _ = c.WriteToUDPAddrPort(buf[:n], from)
	}
}

// relayLoop forwards packets without decoding them, with one goroutine for each
// direction, like the daemon with one worker for each.
func relayLoop(in, out *net.UDPConn, upstream netip.AddrPort) {
	var last atomic.Value
	go func() {
		buf := make([]byte, 2048)
		for {
			n, _, err := out.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			if to, ok := last.Load().(netip.AddrPort); ok {
				_, _ = in.WriteToUDPAddrPort(buf[:n], to)
			}
		}
	}()
	buf := make([]byte, 2048)
	for {
		n, from, err := in.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if last.Load() != from {
			last.Store(from)
		}
		_, _ = out.WriteToUDPAddrPort(buf[:n], upstream)
	}
}

// startDaemon returns the entry address of a daemon and a datagram of a flow
// established at the upstream.
func startDaemon(b *testing.B, upstream netip.AddrPort) (netip.AddrPort, []byte) {
	b.Helper()
	key := []byte("benchmark key, not a secret")
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	d, err := New(Config{Self: model.Balancer{Name: "b00", DataCentre: "dc0"}, ClientListen: loopback, UpstreamListen: loopback, PeerListen: loopback, Key: key})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	inputs, done := make(chan input.Input), make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx, inputs)
	}()
	b.Cleanup(func() { cancel(); <-done })
	address := netip.MustParseAddrPort("10.1.0.1:7003")
	cfg := model.Config{}.
		WithTemplate(model.Template{Name: "bench"}.WithClass(model.Class{Name: "uploads", Port: 7003, Kind: model.KindUpload})).
		WithParams(model.Params{Customer: "north", Template: "bench", Address: address.Addr()}.
			WithUpstream(model.Upstream{Name: "u", DataCentre: "dc0", Endpoint: upstream, Health: loopback})).
		WithRevision(1)
	inputs <- &input.Hosts{Balancers: []model.Balancer{d.Self()}}
	inputs <- &input.ConfigReceived{Config: cfg}
	for d.Revision() == 0 {
		inputs <- &input.Tick{}
	}
	return d.ClientAddr(), establishedDatagram(b, key, address, upstream)
}

func establishedDatagram(b *testing.B, key []byte, address, upstream netip.AddrPort) []byte {
	b.Helper()
	s, err := wire.NewSealer(key)
	if err != nil {
		b.Fatal(err)
	}
	h := packet.Header{Flow: 7, Address: address, Handshake: 1, Route: packet.Route{Endpoint: upstream, Incarnation: 1}}
	sealed := s.AppendForClient(nil, &packet.Packet{Header: h, Body: &packet.Accept{}})
	var dec wire.Decoder
	var p packet.Packet
	if err := dec.Decode(sealed, &p); err != nil {
		b.Fatal(err)
	}
	p.Body = &packet.Data{Seq: 1, Payload: make([]byte, 1000)}
	return wire.AppendWithToken(nil, &p, dec.Token())
}
