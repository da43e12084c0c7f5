package wire

import (
	"testing"

	"egretdock/core/packet"
)

// established returns a 1,000-byte upload chunk as a client sends it and as a
// balancer forwards it.
func established(t testing.TB, s *Sealer) ([]byte, *packet.Packet) {
	t.Helper()
	h := header
	h.Route = packet.Route{Endpoint: six, Incarnation: 7}
	p := &packet.Packet{Header: h, Body: &packet.Data{Seq: 17, Payload: make([]byte, 1000)}}
	return AppendWithToken(nil, p, token(t, s, h)), p
}

// Guards against garbage that grows with the packets of established flows.
func TestEstablishedAllocatesNothing(t *testing.T) {
	s := ours(t)
	b, _ := established(t, s)
	var d Decoder
	var p packet.Packet
	out := make([]byte, 0, 2*len(b))
	n := testing.AllocsPerRun(100, func() {
		if err := d.DecodeFromClient(b, six, s, &p); err != nil {
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
	s := ours(b)
	in, out := established(b, s)
	accept := packet.Packet{Header: out.Header, Body: bodies[1]}
	var d Decoder
	var p packet.Packet
	buf := make([]byte, 0, 2*len(in))
	for _, c := range []struct {
		name string
		fn   func()
	}{
		{"decode=client", func() { _ = d.DecodeFromClient(in, six, s, &p) }},
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
