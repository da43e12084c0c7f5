package wire

import (
	"slices"
	"testing"

	"egretdock/core/input"
	"egretdock/core/packet"
)

// Guards against a panic on arbitrary input, and against a packet that changes
// when a balancer decodes and forwards it.
func FuzzDecode(f *testing.F) {
	s := newFleetSealer(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Decoder
		var p packet.Packet
		if err := d.DecodeFromClient(b, ipv4Addr, s, &p); err == nil && p.Client != ipv4Addr {
			t.Errorf("client is %v, want the source %v", p.Client, ipv4Addr)
		}
		if d.Decode(b, &p) == nil {
			assertDecodes(t, Append(nil, &p), p)
		}
	})
}

// Guards against a panic on an authentic relay of another version of the
// balancer, and against a relay that changes when it is encoded again.
func FuzzDecodeRelay(f *testing.F) {
	s := newFleetSealer(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		var d, again Decoder
		var r, got input.Relay
		assertError(t, ErrUnauthentic, d.DecodeRelay(b, s, &r))
		if d.DecodeRelay(slices.Concat(s.relayTag(b), b), s, &r) == nil {
			assertError(t, nil, again.DecodeRelay(s.AppendRelay(nil, &r), s, &got))
			assertSame(t, r, got)
		}
	})
}
