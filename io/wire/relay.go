package wire

import (
	"crypto/hmac"
	"encoding/binary"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"egretdock/core/input"
	"egretdock/core/packet"
)

// Field numbers of Relay in packet.proto.
const (
	relayPacket    = 1
	relayTarget    = 2
	relayRoute     = 3
	relayTried     = 4
	relayHops      = 5
	relayForced    = 6
	relayBest      = 7
	relayBestQueue = 8
	relayStart     = 9
)

// AppendRelay appends the authentication tag of a relay and the encoded relay.
func (s *Sealer) AppendRelay(dst []byte, r *input.Relay) []byte {
	start := len(dst)
	dst = append(dst, padding[:tagSize]...)
	dst = appendBytes(dst, relayPacket, Append(nil, &r.Packet))
	dst = appendAddrField(dst, relayTarget, r.Target)
	if !r.Packet.Route.IsZero() {
		var buf [18 + 8]byte
		b := appendAddr(buf[:0], r.Packet.Route.Endpoint)
		b = binary.BigEndian.AppendUint64(b, r.Packet.Route.Incarnation)
		dst = appendBytes(dst, relayRoute, b)
	}
	dst = appendVarint(dst, relayTried, uint64(r.Tried))
	dst = appendVarint(dst, relayHops, uint64(r.Hops))
	if r.Forced {
		dst = appendVarint(dst, relayForced, 1)
	}
	dst = appendAddrField(dst, relayBest, r.Best)
	dst = appendVarint(dst, relayBestQueue, uint64(r.BestQueue))
	dst = appendVarint(dst, relayStart, uint64(r.StartIndex))
	copy(dst[start:], s.relayTag(dst[start+tagSize:]))
	return dst
}

func (s *Sealer) relayTag(b []byte) []byte {
	s.buf = append(append(s.buf[:0], 'r'), b...)
	return s.tag(s.buf)
}

// DecodeRelay verifies the tag of a relay and decodes the relay.
func (d *Decoder) DecodeRelay(b []byte, s *Sealer, r *input.Relay) error {
	if len(b) < tagSize || !hmac.Equal(s.relayTag(b[tagSize:]), b[:tagSize]) {
		return ErrUnauthentic
	}
	*r = input.Relay{}
	var inner, route []byte
	for b = b[tagSize:]; len(b) > 0; {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		switch typ {
		case protowire.BytesType:
			var v []byte
			if v, n = protowire.ConsumeBytes(b); n < 0 {
				return ErrMalformed
			}
			switch num {
			case relayPacket:
				inner = v
			case relayRoute:
				route = v
			default:
				if !setRelayAddr(r, num, v) {
					return ErrMalformed
				}
			}
		case protowire.VarintType:
			var v uint64
			if v, n = protowire.ConsumeVarint(b); n < 0 {
				return ErrMalformed
			}
			setRelayVarint(r, num, v)
		default:
			if n = protowire.ConsumeFieldValue(num, typ, b); n < 0 {
				return ErrMalformed
			}
		}
		b = b[n:]
	}
	if err := d.Decode(inner, &r.Packet); err != nil {
		return err
	}
	if n := len(route) - 8; n > 0 {
		endpoint, ok := parseAddr(route[:n])
		if !ok {
			return ErrMalformed
		}
		r.Packet.Route = packet.Route{Endpoint: endpoint, Incarnation: binary.BigEndian.Uint64(route[n:])}
	}
	return nil
}

// setRelayAddr sets an address field and reports whether it is valid. Unknown
// fields are ignored.
func setRelayAddr(r *input.Relay, num protowire.Number, v []byte) bool {
	var ok bool
	switch num {
	case relayTarget:
		r.Target, ok = parseAddr(v)
	case relayBest:
		r.Best, ok = parseAddr(v)
	default:
		return true
	}
	return ok
}

func setRelayVarint(r *input.Relay, num protowire.Number, v uint64) {
	switch num {
	case relayTried:
		r.Tried = uint8(min(v, math.MaxUint8))
	case relayHops:
		r.Hops = uint8(min(v, math.MaxUint8))
	case relayStart:
		r.StartIndex = uint8(min(v, math.MaxUint8))
	case relayForced:
		r.Forced = v != 0
	case relayBestQueue:
		r.BestQueue = uint32(min(v, math.MaxUint32))
	}
}
