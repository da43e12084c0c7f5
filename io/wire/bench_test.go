package wire

import (
	"testing"

	"egretdock/core/packet"
)

// uploadChunk returns a 1,000-byte upload chunk as a client sends it and as a
// balancer forwards it.
func uploadChunk(t testing.TB, s *Sealer) ([]byte, *packet.Packet) {
	t.Helper()
	h := header
	h.Route = packet.Route{Endpoint: ipv6Addr, Incarnation: 7}
	p := &packet.Packet{Header: h, Body: &packet.Data{Seq: 17, Payload: make([]byte, 1000)}}
	return AppendWithToken(nil, p, issueToken(t, s, h)), p
}

// Guards against allocations for each packet of an established flow.
func TestDataPacketsDoNotAllocate(t *testing.T) {
	s := newFleetSealer(t)
	b, _ := uploadChunk(t, s)
	var d Decoder
	var p packet.Packet
	out := make([]byte, 0, 2*len(b))
	n := testing.AllocsPerRun(100, func() {
		if err := d.DecodeFromClient(b, ipv6Addr, s, &p); err != nil {
			t.Fatal(err)
		}
		out = Append(out[:0], &p)
		out = s.AppendForClient(out[:0], &p)
	})
	if n != 0 {
		t.Errorf("decoding and encoding a data packet allocates %v times", n)
	}
}

func BenchmarkPacket(b *testing.B) {
	s := newFleetSealer(b)
	in, out := uploadChunk(b, s)
	accept := packet.Packet{Header: out.Header, Body: bodies[1]}
	var d Decoder
	var p packet.Packet
	buf := make([]byte, 0, 2*len(in))
	for _, c := range []struct {
		name string
		fn   func()
	}{
		{"decode=client", func() { _ = d.DecodeFromClient(in, ipv6Addr, s, &p) }},
		{"decode=upstream", func() { _ = d.Decode(in, &p) }},
		{"encode", func() { buf = Append(buf[:0], out) }},
		{"seal", func() { buf = s.AppendForClient(buf[:0], &accept) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.fn()
			}
		})
	}
}
