package wire

import (
	"slices"
	"testing"

	"egretdock/core/input"
	"egretdock/core/packet"
)

// Guards against a panic on foreign input, and a packet that a balancer
// forwards with another meaning than it acted on.
func FuzzDecode(f *testing.F) {
	s := ours(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Decoder
		var p packet.Packet
		if err := d.DecodeFromClient(b, four, s, &p); err == nil && p.Client != four {
			t.Errorf("client is %v, want the source %v", p.Client, four)
		}
		if d.Decode(b, &p) == nil {
			assertDecodes(t, Append(nil, &p), p)
		}
	})
}

// Guards against a panic on, and a change of, relays of another version of the
// balancer, which holds the fleet key.
func FuzzDecodeRelay(f *testing.F) {
	s := ours(f)
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
