package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net/netip"

	"egretdock/core/fault"
	"egretdock/core/packet"
)

// tagSize is the length of an authentication tag in bytes.
const tagSize = 16

// MinKeySize is the minimum length of a fleet key in bytes.
const MinKeySize = 16

// Sealer issues and verifies route tokens and relay tags with the fleet key. It
// is not safe for concurrent use.
type Sealer struct {
	mac hash.Hash
	buf []byte
	sum []byte
}

// NewSealer returns a sealer for a fleet key of at least MinKeySize bytes.
func NewSealer(key []byte) (*Sealer, error) {
	if len(key) < MinKeySize {
		return nil, fault.New(fault.KindInvalid, "fleet key is shorter than 16 bytes", "set fleet_key or fleet_key_file to at least 16 random bytes")
	}
	return &Sealer{mac: hmac.New(sha256.New, key)}, nil
}

// appendToken appends the route token of a flow: endpoint, incarnation and tag.
func (s *Sealer) appendToken(dst []byte, h *packet.Header) []byte {
	start := len(dst)
	dst = appendAddr(dst, h.Route.Endpoint)
	dst = binary.BigEndian.AppendUint64(dst, h.Route.Incarnation)
	return append(dst, s.routeTag(h, dst[start:])...)
}

// verifyToken returns the route in a token, if the token was issued for the flow
// and address of the packet that carries it.
func (s *Sealer) verifyToken(token []byte, h *packet.Header) (packet.Route, bool) {
	n := len(token) - tagSize
	if n < 8+6 || !hmac.Equal(s.routeTag(h, token[:n]), token[n:]) {
		return packet.Route{}, false
	}
	endpoint, ok := parseAddr(token[:n-8])
	if !ok {
		return packet.Route{}, false
	}
	return packet.Route{Endpoint: endpoint, Incarnation: binary.BigEndian.Uint64(token[n-8 : n])}, true
}

// routeTag binds a route to one flow of one service address, so that a token
// cannot be used for another customer. The length of the route is part of the
// tag, because both addresses may have 6 or 18 bytes: without it, the token of
// an IPv4 service at an IPv6 endpoint fits an IPv6 service at an IPv4 endpoint.
func (s *Sealer) routeTag(h *packet.Header, route []byte) []byte {
	s.buf = append(s.buf[:0], 't', byte(len(route)))
	s.buf = binary.BigEndian.AppendUint64(s.buf, h.Flow)
	s.buf = appendAddr(s.buf, h.Address)
	s.buf = append(s.buf, route...)
	return s.tag(s.buf)
}

// tag returns the truncated HMAC of b, valid until the next call. The first byte
// of b is 't' for tokens and 'r' for relays, so that neither tag is valid for the
// other.
func (s *Sealer) tag(b []byte) []byte {
	s.mac.Reset()
	s.mac.Write(b)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:tagSize]
}

func appendAddr(dst []byte, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return dst
	}
	if ip := a.Addr().Unmap(); ip.Is4() {
		b := ip.As4()
		dst = append(dst, b[:]...)
	} else {
		b := ip.As16()
		dst = append(dst, b[:]...)
	}
	return binary.BigEndian.AppendUint16(dst, a.Port())
}

// parseAddr decodes an address. IPv4-mapped IPv6 addresses become IPv4, so that
// equal addresses are equal values.
func parseAddr(b []byte) (netip.AddrPort, bool) {
	if len(b) != 6 && len(b) != 18 {
		return netip.AddrPort{}, false
	}
	ip, ok := netip.AddrFromSlice(b[:len(b)-2])
	return netip.AddrPortFrom(ip.Unmap(), binary.BigEndian.Uint16(b[len(b)-2:])), ok
}
