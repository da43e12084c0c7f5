package wire

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"egretdock/core/input"
	"egretdock/core/packet"
)

var (
	four   = netip.MustParseAddrPort("10.1.0.1:7001")
	six    = netip.MustParseAddrPort("[fd00::1]:7002")
	header = packet.Header{Flow: 2, Address: four, Client: six, Handshake: 5, Route: packet.Route{Incarnation: 7}}
	// bodies are in the order of their kinds. The value of each number is its
	// field number in packet.proto, durations in microseconds.
	bodies = []packet.Body{
		&packet.Open{Attempt: 9, Timeout: 10 * time.Microsecond},
		&packet.Accept{Load: 16},
		&packet.Request{ID: 8, Attempt: 9, Timeout: 10 * time.Microsecond, Payload: []byte("order")},
		&packet.Answer{ID: 8, Part: 14, Parts: 15, Load: 16, Payload: []byte("done")},
		&packet.Refuse{ID: 8, Attempt: 9, Reason: 12, RetryAfter: 13 * time.Microsecond},
		&packet.Cancel{ID: 8, Attempt: 9, Reason: 12, RetryAfter: 13 * time.Microsecond},
		&packet.Data{Seq: 17, Payload: []byte("chunk")},
		&packet.Ack{Seq: 17},
		&packet.Close{},
		&packet.Reset{ID: 8, Attempt: 9, Reason: 12, RouteKnown: true},
	}
	relay = input.Relay{
		Packet: packet.Packet{Header: header, Body: bodies[2]},
		Target: four, Tried: 4, Hops: 5, Forced: true, Best: six, BestQueue: 8, StartIndex: 9,
	}
	same = cmp.Options{cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }), cmpopts.EquateEmpty()}
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases; -rapid.seed selects others.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

func sealer(t testing.TB, key string) *Sealer {
	t.Helper()
	s, err := NewSealer([]byte(key))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func ours(t testing.TB) *Sealer { t.Helper(); return sealer(t, "0123456789abcdef") }

// token returns the token in an accept, as a client sees it.
func token(t testing.TB, s *Sealer, h packet.Header) []byte {
	t.Helper()
	var d Decoder
	var p packet.Packet
	if err := d.Decode(s.AppendForClient(nil, &packet.Packet{Header: h, Body: bodies[1]}), &p); err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(d.Token())
}

func assertDecodes(t rapid.TB, b []byte, want packet.Packet) {
	t.Helper()
	var d Decoder
	var got packet.Packet
	if err := d.Decode(b, &got); err != nil {
		t.Fatalf("Decode() = %v", err)
	}
	assertSame(t, want, got)
}

func assertSame[T any](t rapid.TB, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got, same); diff != "" {
		t.Fatalf("decoded value differs (-want +got):\n%s", diff)
	}
}

func assertError(t rapid.TB, want, got error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("error is %v, want %v", got, want)
	}
}

// assertToken checks the verdict on a token that an acknowledgement carries.
func assertToken(t testing.TB, s *Sealer, h packet.Header, tok []byte, route packet.Route, want error) {
	t.Helper()
	var d Decoder
	var p packet.Packet
	b := AppendWithToken(nil, &packet.Packet{Header: h, Body: bodies[7]}, tok)
	assertError(t, want, d.DecodeFromClient(b, six, s, &p))
	assertSame(t, route, p.Route)
}

var (
	genAddr = rapid.Custom(func(t *rapid.T) netip.AddrPort {
		b := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "ip")
		ip := netip.AddrFrom16([16]byte(b))
		if rapid.Bool().Draw(t, "four") {
			ip = netip.AddrFrom4([4]byte(b[:4]))
		}
		return netip.AddrPortFrom(ip.Unmap(), rapid.Uint16().Draw(t, "port"))
	})
	genTime = rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Uint64Max(maxMicros).Draw(t, "us")) * time.Microsecond
	})
	genPacket = rapid.Custom(func(t *rapid.T) packet.Packet {
		id, n := rapid.Uint64().Draw(t, "id"), rapid.Uint32().Draw(t, "n")
		m, wait := rapid.Uint32().Draw(t, "m"), genTime.Draw(t, "wait")
		reason, payload := packet.Reason(rapid.Byte().Draw(t, "reason")), rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		return packet.Packet{
			Header: packet.Header{
				Flow: id ^ 1, Address: genAddr.Draw(t, "address"), Client: genAddr.Draw(t, "client"), Handshake: n,
				Route: packet.Route{Endpoint: genAddr.Draw(t, "endpoint"), Incarnation: id},
			},
			Body: rapid.SampledFrom([]packet.Body{
				&packet.Open{Attempt: n, Timeout: wait},
				&packet.Accept{Load: n},
				&packet.Request{ID: id, Attempt: n, Timeout: wait, Payload: payload},
				&packet.Answer{ID: id, Part: n, Parts: m, Load: n, Payload: payload},
				&packet.Refuse{ID: id, Attempt: n, Reason: reason, RetryAfter: wait},
				&packet.Cancel{ID: id, Attempt: n, Reason: reason, RetryAfter: wait},
				&packet.Data{Seq: id, Payload: payload},
				&packet.Ack{Seq: id},
				&packet.Close{},
				&packet.Reset{ID: id, Attempt: n, Reason: reason, RouteKnown: true},
			}).Draw(t, "body"),
		}
	})
)

// Guards against a value that is lost or changed between two processes, and a
// token or relay of the fleet that is refused.
func TestRoundTrip(t *testing.T) {
	s, peer := ours(t), ours(t)
	t.Run("upstream", rapid.MakeCheck(func(t *rapid.T) {
		p := genPacket.Draw(t, "packet")
		p.Route.Endpoint = netip.AddrPort{} // not sent to upstreams
		assertDecodes(t, Append(nil, &p), p)
	}))
	t.Run("client", rapid.MakeCheck(func(t *rapid.T) {
		p := genPacket.Draw(t, "packet")
		var d Decoder
		var got packet.Packet
		b := AppendWithToken(nil, &p, s.seal(nil, &p.Header))
		p.Client = four // the datagram's source counts
		assertError(t, nil, d.DecodeFromClient(b, four, peer, &got))
		assertSame(t, p, got)
	}))
	t.Run("relay", rapid.MakeCheck(func(t *rapid.T) {
		n := rapid.Uint32().Draw(t, "n")
		r := input.Relay{
			Packet: genPacket.Draw(t, "packet"), Target: genAddr.Draw(t, "target"), Best: genAddr.Draw(t, "best"),
			Tried: uint8(n), Hops: uint8(n >> 8), StartIndex: uint8(n >> 16), Forced: n&1 == 1, BestQueue: n,
		}
		var d Decoder
		got := relay // values of an earlier relay must not remain
		assertError(t, nil, d.DecodeRelay(s.AppendRelay(nil, &r), peer, &got))
		assertSame(t, r, got)
	}))
}

// Guards against values of an earlier packet that show in a later one.
func TestDecoderIsReusable(t *testing.T) {
	var d Decoder
	var got packet.Packet
	for i := range bodies {
		full, bare := packet.Packet{Header: header, Body: bodies[i]}, packet.Packet{Header: packet.Header{Address: four}, Body: bodies[8]}
		for _, p := range []packet.Packet{full, bare} {
			assertError(t, nil, d.Decode(Append(nil, &p), &got))
			assertSame(t, p, got)
		}
	}
}

// Guards against a later version of packet.proto that this one refuses, and
// numbers that lose their high bits.
func TestUnknownFields(t *testing.T) {
	p := packet.Packet{Header: header, Body: bodies[6]}
	b := appendVarint(Append(nil, &p), 99, math.MaxUint64)
	b = appendBytes(appendFixed64(b, 98, 1), 97, []byte("later"))
	assertDecodes(t, protowire.AppendFixed32(protowire.AppendTag(b, 96, protowire.Fixed32Type), 1), p)
	for n, v := range map[protowire.Number]uint64{
		fieldKind: 1<<32 | 7, fieldAttempt: 1 << 32, fieldReason: 1 << 8, fieldPart: 1 << 32, fieldParts: 1 << 32, fieldLoad: 1 << 32,
	} {
		t.Run(fmt.Sprint("field", n), func(t *testing.T) {
			var d Decoder
			assertError(t, ErrMalformed, d.Decode(appendVarint(Append(nil, &p), n, v), &packet.Packet{}))
		})
	}
}

// Guards against two values of one address, of which only one is found in the
// tables.
func TestMappedAddressIsIPv4(t *testing.T) {
	mapped := netip.AddrFrom16(four.Addr().As16()).AsSlice()
	b := append(protowire.AppendTag(nil, fieldAddress, protowire.BytesType), 18)
	b = append(append(b, mapped...), byte(four.Port()>>8), byte(four.Port()))
	assertDecodes(t, appendVarint(b, fieldKind, uint64(kindClose)), packet.Packet{Header: packet.Header{Address: four}, Body: bodies[8]})
}

// Guards against clients that choose their upstream, or reach another
// customer's, with a token that was not issued for their flow and address.
func TestForeignTokens(t *testing.T) {
	h := header
	h.Route = packet.Route{Endpoint: six, Incarnation: 7}
	s, tok := ours(t), token(t, ours(t), h)
	assertToken(t, s, h, tok, h.Route, nil)
	refuse := func(name string, s *Sealer, h packet.Header, tok []byte) {
		t.Run(name, func(t *testing.T) { assertToken(t, s, h, tok, packet.Route{}, ErrUnauthentic) })
	}
	other := h
	other.Flow++
	refuse("flow", s, other, tok)
	for _, a := range []string{"10.1.0.2:7001", "10.1.0.1:7002"} {
		other = h
		other.Address = netip.MustParseAddrPort(a)
		refuse(a, s, other, tok)
	}
	refuse("key", sealer(t, "fedcba9876543210"), h, tok)
	for i := range tok {
		forged := bytes.Clone(tok)
		forged[i] ^= 1
		refuse(fmt.Sprint("byte", i), s, h, forged)
		if i > 0 {
			refuse(fmt.Sprint("length", i), s, h, tok[:i])
		}
	}
	refuse("longer", s, h, append(bytes.Clone(tok), 0))
	// The tag covers the address and the route; the same bytes divided
	// elsewhere name another service.
	all := append(appendAddr(nil, h.Address), tok...)
	other = h
	other.Address, _ = parseAddr(all[:18])
	refuse("divided", s, other, all[18:])
	// A relay tag over the content of a token, and a token tag over a relay.
	s.routeTag(&h, tok[:len(tok)-tagSize])
	content := bytes.Clone(s.buf)
	refuse("relay tag", s, h, slices.Concat(tok[:len(tok)-tagSize], s.relayTag(content[1:])))
	t.Run("route tag", func(t *testing.T) {
		var d Decoder
		tag := tok[len(tok)-tagSize:]
		assertError(t, ErrUnauthentic, d.DecodeRelay(slices.Concat(tag, content), s, &input.Relay{}))
		assertError(t, ErrUnauthentic, d.DecodeRelay(slices.Concat(tag, content[1:]), s, &input.Relay{}))
	})
}

// Guards against clients that state an incarnation, and tokens that cost bytes
// or are refused when they are echoed: only an accept with a route has one.
func TestPacketsWithoutToken(t *testing.T) {
	s, h := ours(t), header
	var d Decoder
	var p packet.Packet
	assertError(t, nil, d.DecodeFromClient(Append(nil, &packet.Packet{Header: h, Body: bodies[7]}), six, s, &p))
	assertSame(t, packet.Route{}, p.Route)
	h.Route.Endpoint = four
	for _, sent := range []packet.Packet{{Header: header, Body: bodies[1]}, {Header: h, Body: bodies[6]}} {
		assertError(t, nil, d.Decode(s.AppendForClient(nil, &sent), &p))
		assertSame(t, nil, d.Token())
	}
}

// Guards against a deadline that becomes none or negative, and counts that wrap
// and so let a relay pass on for ever.
func TestLimitsOfNumbers(t *testing.T) {
	p := packet.Packet{Header: header, Body: &packet.Open{Timeout: 1}}
	b := Append(nil, &p)
	p.Body = &packet.Open{Timeout: time.Microsecond}
	assertDecodes(t, b, p)
	p.Body = &packet.Open{Timeout: 24 * time.Hour}
	assertDecodes(t, appendVarint(b, fieldTimeout, math.MaxUint64), p)

	s, r := ours(t), input.Relay{Packet: p}
	b = s.AppendRelay(nil, &r)[tagSize:]
	for _, n := range []protowire.Number{relayTried, relayHops, relayBestQueue, relayStart} {
		b = appendVarint(b, n, 1<<32)
	}
	r.Tried, r.Hops, r.BestQueue, r.StartIndex = math.MaxUint8, math.MaxUint8, math.MaxUint32, math.MaxUint8
	var d Decoder
	var got input.Relay
	assertError(t, nil, d.DecodeRelay(slices.Concat(s.relayTag(b), b), s, &got))
	assertSame(t, r, got)
}

// Guards against relays that no balancer of the fleet wrote.
func TestForgedRelays(t *testing.T) {
	s, r := ours(t), relay
	b := s.AppendRelay(nil, &r)
	refuse := func(name string, s *Sealer, b []byte) {
		t.Run(name, func(t *testing.T) {
			var d Decoder
			assertError(t, ErrUnauthentic, d.DecodeRelay(b, s, &input.Relay{}))
		})
	}
	refuse("key", sealer(t, "fedcba9876543210"), b)
	for i := range b {
		forged := bytes.Clone(b)
		forged[i] ^= 1
		refuse(fmt.Sprint("byte", i), s, forged)
		refuse(fmt.Sprint("length", i), s, b[:i])
	}
	if _, err := NewSealer(make([]byte, MinKeySize-1)); err == nil {
		t.Error("a key that is too short is accepted")
	}
}

// Guards against a panic on, and the acceptance of, packets without their
// end, address or kind.
func TestMalformed(t *testing.T) {
	var d Decoder
	var p packet.Packet
	for _, body := range bodies {
		b := Append(nil, &packet.Packet{Header: packet.Header{Flow: 2, Client: six}, Body: body})
		for i := range len(b) + 1 {
			assertError(t, ErrMalformed, d.Decode(b[:i], &p))
		}
		b = Append(nil, &packet.Packet{Header: header, Body: body})
		for i := range b { // a cut between two fields leaves a packet
			if d.Decode(b[:i], &p) == nil {
				assertDecodes(t, Append(nil, &p), p)
			}
		}
	}
	for name, b := range map[string][]byte{
		"no kind":      appendAddrField(nil, fieldAddress, four),
		"unknown kind": appendVarint(appendAddrField(nil, fieldAddress, four), fieldKind, uint64(kindReset)+1),
		"long client":  appendBytes(Append(nil, &packet.Packet{Header: header, Body: bodies[8]}), fieldClient, padding[:7]),
		"long address": appendBytes(Append(nil, &packet.Packet{Header: header, Body: bodies[8]}), fieldAddress, padding[:7]),
		"cut payload":  append(Append(nil, &packet.Packet{Header: header, Body: bodies[8]}), fieldPayload<<3|2, 9, 'x'),
		"open group":   append(Append(nil, &packet.Packet{Header: header, Body: bodies[8]}), 20<<3&0x7f|3|0x80, 1),
	} {
		t.Run(name, func(t *testing.T) { assertError(t, ErrMalformed, d.Decode(b, &p)) })
	}
}

// Guards against a balancer that amplifies traffic to forged sources: openings
// below MinOpen are refused, clients pad theirs, and no reply is longer.
func TestOpeningsAndReplies(t *testing.T) {
	s := ours(t)
	for _, a := range []netip.AddrPort{four, six} {
		h := packet.Header{Flow: math.MaxUint64, Address: a, Client: a, Handshake: math.MaxUint32}
		t.Run("padding/"+a.String(), func(t *testing.T) {
			for n := range MinOpenSize {
				p := packet.Packet{Header: h, Body: bodies[0]}
				b := AppendWithToken([]byte("before"), &p, padding[:n])[len("before"):]
				assertDecodes(t, b, p)
				if len(b) < MinOpenSize {
					t.Errorf("opening with a token of %d bytes has %d bytes", n, len(b))
				}
			}
		})
		t.Run("short/"+a.String(), func(t *testing.T) {
			var d Decoder
			b := Append(nil, &packet.Packet{Header: h, Body: bodies[0]})
			b = appendBytes(b, fieldPadding, padding[:MinOpenSize-1-len(b)-3])
			assertError(t, ErrShortOpen, d.DecodeFromClient(b, a, s, &packet.Packet{}))
		})
		h.Route = packet.Route{Endpoint: six, Incarnation: math.MaxUint64}
		for _, body := range []packet.Body{
			&packet.Accept{Load: math.MaxUint32},
			&packet.Refuse{ID: math.MaxUint64, Attempt: math.MaxUint32, Reason: math.MaxUint8, RetryAfter: math.MaxInt64},
			&packet.Reset{ID: math.MaxUint64, Attempt: math.MaxUint32, Reason: math.MaxUint8, RouteKnown: true},
		} {
			t.Run(fmt.Sprintf("reply/%T/%v", body, a), func(t *testing.T) {
				if n := len(s.AppendForClient(nil, &packet.Packet{Header: h, Body: body})); n > MinOpenSize {
					t.Errorf("reply has %d bytes, opening %d", n, MinOpenSize)
				}
			})
		}
	}
}
