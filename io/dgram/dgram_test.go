package dgram

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/worker"
	"egretdock/io/gossip"
	"egretdock/io/wire"
)

var (
	key        = []byte("0123456789abcdef")
	service    = netip.MustParseAddrPort("10.1.0.1:7001")
	sender     = model.Balancer{Name: "balancer-1", Incarnation: 1, Peer: service, Fetch: service}
	cmpOptions = cmp.Options{cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }), cmpopts.EquateEmpty()}
)

// ioTimeout fails a test whose datagram does not arrive.
const ioTimeout = 10 * time.Second

// balancer holds the sockets, sink and sources of one balancer with one worker.
type balancer struct {
	Sockets
	sink      *Sink
	counters  Counters
	performed []effect.Effect

	fromClients, fromUpstreams, fromPeers worker.Source
}

func startBalancer(t *testing.T, ip string) *balancer {
	t.Helper()
	listen := func() *Socket {
		s, err := Listen(netip.AddrPortFrom(netip.MustParseAddr(ip), 0))
		if err != nil {
			t.Fatal(err)
		}
		_ = s.conn.SetDeadline(time.Now().Add(ioTimeout))
		return s
	}
	w, err1 := wire.NewSealer(key)
	g, err2 := gossip.NewSealer(key, 1)
	o, err3 := gossip.NewOpener(key)
	if err1 != nil || err2 != nil || err3 != nil {
		t.Fatal(err1, err2, err3)
	}
	b := &balancer{Sockets: Sockets{Clients: listen(), Upstreams: listen(), Peers: listen()}}
	t.Cleanup(b.Close)
	b.sink = NewSink(b.Sockets, Sealers{Wire: w, Gossip: g}, &b.counters, func(e effect.Effect) { b.performed = append(b.performed, e) })
	b.fromClients = NewClientSource(b.Clients, w, nil, &b.counters)
	b.fromUpstreams = NewUpstreamSource(b.Upstreams, &b.counters)
	b.fromPeers = NewPeerSource(b.Peers, w, o, PeerOptions{Now: time.Now}, &b.counters)
	return b
}

func (b *balancer) send(effects ...effect.Effect) {
	for _, e := range effects {
		b.sink.Put(e)
	}
	b.sink.Flush()
}

// readInputs reads from a source until it has delivered want inputs.
func readInputs(t *testing.T, s worker.Source, want int, fn func(int, input.Input)) {
	t.Helper()
	for n := 0; n < want; {
		was := n
		if err := s.Read(func(in input.Input) { fn(n, in); n++ }); err != nil || n == was {
			t.Fatalf("Read() delivered nothing after %d of %d inputs, error %v", n, want, err)
		}
	}
}

func assertReads(t *testing.T, s worker.Source, want input.Input) {
	t.Helper()
	readInputs(t, s, 1, func(_ int, got input.Input) {
		if diff := cmp.Diff(want, got, cmpOptions); diff != "" {
			t.Errorf("input differs (-want +got):\n%s", diff)
		}
	})
}

func assertCount(t *testing.T, name string, want, got int64) {
	t.Helper()
	if want != got {
		t.Errorf("%s is %d, want %d", name, got, want)
	}
}

// Guards against effects that are sent with the wrong socket or encoder, and
// against sources that lose the sender's address, which the engine relies on.
func TestEffectsArriveAsInputs(t *testing.T) {
	for _, ip := range []string{"127.0.0.1", "::1"} {
		t.Run(ip, func(t *testing.T) {
			a, b := startBalancer(t, ip), startBalancer(t, ip)
			client := b.Upstreams // stands in for the client's socket
			h := packet.Header{Flow: 2, Address: service, Client: client.Addr(), Handshake: 5}
			p := packet.Packet{Header: h, Body: &packet.Data{Seq: 1, Payload: []byte("chunk")}}
			t.Run("upstream", func(t *testing.T) {
				a.send(&effect.ToUpstream{To: b.Upstreams.Addr(), Packet: p})
				assertReads(t, b.fromUpstreams, &input.FromUpstream{Source: a.Upstreams.Addr(), Packet: p})
			})
			t.Run("client", func(t *testing.T) {
				accept := packet.Packet{Header: h, Body: &packet.Accept{}}
				accept.Route = packet.Route{Endpoint: service, Incarnation: 7}
				a.send(&effect.ToClient{Packet: accept})
				buf, dec := make([]byte, MaxDatagramSize), wire.Decoder{}
				n, from, err := client.conn.ReadFromUDPAddrPort(buf)
				if err != nil || from.Port() != a.Clients.Addr().Port() {
					t.Fatalf("accept from %v, error %v", from, err)
				}
				if err := dec.Decode(buf[:n], &packet.Packet{}); err != nil {
					t.Fatal(err)
				}
				sendRaw(t, client, a.Clients, wire.AppendWithToken(nil, &p, dec.Token()))
				want := p
				want.Route = accept.Route
				assertReads(t, a.fromClients, &input.FromClient{Packet: want})
			})
			t.Run("relay", func(t *testing.T) {
				relay := input.Relay{Packet: p, Target: service, Hops: 2}
				a.sink.Put(&effect.ToPeer{To: b.Peers.Addr(), Relay: relay})
				assertCount(t, "datagrams for the peer socket", 1, int64(a.sink.peers.n))
				a.sink.Flush()
				assertReads(t, b.fromPeers, &input.FromPeer{Relay: relay})
			})
			t.Run("gossip", func(t *testing.T) {
				m := &member.Ping{Header: member.Header{Seq: 9, From: sender}}
				a.send(&effect.Gossip{To: b.Peers.Addr(), Message: m})
				assertReads(t, b.fromPeers, &input.Gossip{Message: m})
				assertCount(t, "bytes", a.counters.GossipBytes.Load(), b.counters.GossipBytes.Load())
				assertCount(t, "messages", 1, a.counters.GossipMessages.Load())
			})
			t.Run("other", func(t *testing.T) {
				a.send(&effect.Poll{}, &effect.Fetch{}, &effect.Event{})
				assertCount(t, "other effects", 3, int64(len(a.performed)))
			})
		})
	}
}

func sendRaw(t *testing.T, from, to *Socket, b []byte) {
	t.Helper()
	if _, err := from.conn.WriteToUDPAddrPort(b, to.Addr()); err != nil {
		t.Fatal(err)
	}
}

// packetOfSize returns a packet and its encoding of n bytes, at least 200.
func packetOfSize(t *testing.T, n int) (packet.Packet, []byte) {
	t.Helper()
	p := packet.Packet{Header: packet.Header{Flow: 2, Address: service}, Body: &packet.Data{Seq: 1}}
	const overhead = 3 // tag and length of the payload
	p.Body = &packet.Data{Seq: 1, Payload: make([]byte, n-len(wire.Append(nil, &p))-overhead)}
	b := wire.Append(nil, &p)
	assertCount(t, "length", int64(n), int64(len(b)))
	return p, b
}

// Guards against the loss of a relay of a client's largest packet, and of a page
// of balancers with long names: both are longer than other datagrams may be.
func TestLargePeerDatagrams(t *testing.T) {
	a := startBalancer(t, "127.0.0.1")
	t.Run("relay", func(t *testing.T) {
		p, _ := packetOfSize(t, MaxDatagramSize)
		r := input.Relay{Target: service, Packet: p}
		a.send(&effect.ToPeer{To: a.Peers.Addr(), Relay: r})
		assertReads(t, a.fromPeers, &input.FromPeer{Relay: r})
	})
	t.Run("page", func(t *testing.T) {
		long := sender
		long.Name, long.DataCentre = strings.Repeat("b", 64), strings.Repeat("d", 64)
		m := &member.Page{Header: member.Header{From: sender, Updates: slices.Repeat([]member.Update{{Balancer: long}}, member.PageUpdates)}}
		a.send(&effect.Gossip{To: a.Peers.Addr(), Message: m})
		assertReads(t, a.fromPeers, &input.Gossip{Message: m})
	})
}

// Guards against invalid datagrams that end a source, are decoded in part, or are
// dropped without being counted.
func TestInvalidDatagrams(t *testing.T) {
	a := startBalancer(t, "127.0.0.1")
	p := packet.Packet{Header: packet.Header{Flow: 2, Address: service}, Body: &packet.Close{}}
	good := wire.Append(nil, &p)
	_, full := packetOfSize(t, MaxDatagramSize)
	_, over := packetOfSize(t, MaxDatagramSize+1)
	relay := append([]byte{peerRelay}, make([]byte, 40)...)
	for _, c := range []struct {
		name                   string
		to                     *Socket
		source                 worker.Source
		b                      []byte
		malformed, unauthentic int64
	}{
		{"client/empty", a.Clients, a.fromClients, nil, 1, 0},
		{"client/noise", a.Clients, a.fromClients, []byte("noise"), 1, 0},
		{"client/token", a.Clients, a.fromClients, wire.AppendWithToken(nil, &p, []byte("token")), 0, 1},
		{"client/long", a.Clients, a.fromClients, over, 1, 0},
		{"client/truncated", a.Clients, a.fromClients, append(full, "rest"...), 1, 0},
		{"upstream/noise", a.Upstreams, a.fromUpstreams, []byte("noise"), 1, 0},
		{"peer/empty", a.Peers, a.fromPeers, nil, 1, 0},
		{"peer/packet", a.Peers, a.fromPeers, good, 1, 0},
		{"peer/relay", a.Peers, a.fromPeers, relay, 0, 1},
		{"peer/gossip", a.Peers, a.fromPeers, append([]byte{peerGossip}, relay...), 0, 1},
		{"peer/long", a.Peers, a.fromPeers, make([]byte, maxPeerDatagramSize+1), 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a.counters.Malformed.Store(0)
			a.counters.Unauthentic.Store(0)
			sendRaw(t, a.Clients, c.to, c.b)
			if err := c.source.Read(func(in input.Input) { t.Errorf("Read() delivered %v", in) }); err != nil {
				t.Fatal(err)
			}
			assertCount(t, "malformed", c.malformed, a.counters.Malformed.Load())
			assertCount(t, "unauthentic", c.unauthentic, a.counters.Unauthentic.Load())
			assertCount(t, "bytes of membership messages", 0, a.counters.GossipBytes.Load())
		})
	}
}

// Guards against a datagram that cannot be sent and causes the loss of the rest
// of its batch, and against batches that are truncated or reordered.
func TestUnsendableDatagramInBatch(t *testing.T) {
	a, n := startBalancer(t, "127.0.0.1"), 3*batchSize+1
	for i := range n {
		if i == 1 || i == batchSize+5 {
			a.sink.Put(&effect.ToUpstream{Packet: packet.Packet{Body: &packet.Close{}}})
		}
		a.sink.Put(&effect.ToUpstream{To: a.Upstreams.Addr(), Packet: packet.Packet{
			Header: packet.Header{Address: service}, Body: &packet.Ack{Seq: uint64(i + 1)},
		}})
	}
	a.sink.Flush()
	readInputs(t, a.fromUpstreams, n, func(i int, in input.Input) {
		ack := in.(*input.FromUpstream).Packet.Body.(*packet.Ack)
		assertCount(t, "sequence", int64(i+1), int64(ack.Seq))
	})
	assertCount(t, "failed", 2, int64(a.sink.upstreams.failed))
}

// Guards against a dual-stack socket that reports an IPv4 sender under another
// address or can't reply to it.
func TestDualStack(t *testing.T) {
	a, b := startBalancer(t, "::"), startBalancer(t, "127.0.0.1")
	p, _ := packetOfSize(t, 200)
	to := netip.AddrPortFrom(b.Upstreams.Addr().Addr(), a.Upstreams.Addr().Port())
	b.send(&effect.ToUpstream{To: to, Packet: p})
	assertReads(t, a.fromUpstreams, &input.FromUpstream{Source: b.Upstreams.Addr(), Packet: p})
	a.send(&effect.ToUpstream{To: b.Upstreams.Addr(), Packet: p})
	assertReads(t, b.fromUpstreams, &input.FromUpstream{Source: to, Packet: p})
}

// Guards against a worker that blocks forever on a closed socket, and against an
// address in use that is not reported.
func TestSocketLifecycle(t *testing.T) {
	a := startBalancer(t, "127.0.0.1")
	if _, err := Listen(a.Clients.Addr()); err == nil {
		t.Error("Listen() succeeded on an address in use")
	}
	done := make(chan error, 1)
	go func() { done <- a.fromClients.Read(func(input.Input) {}) }()
	a.Close()
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Read() = %v, want %v", err, net.ErrClosed)
	}
}
