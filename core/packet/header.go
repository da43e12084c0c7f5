// Package packet defines the data packets of a flow as typed values, apart
// from their encoding.
package packet

import (
	"net/netip"
	"time"
)

// Route names one incarnation of one upstream. The zero value means no route.
type Route struct {
	// Endpoint is the upstream's packet address.
	Endpoint netip.AddrPort
	// Incarnation distinguishes restarts of the upstream at one endpoint.
	Incarnation uint64
}

// IsZero reports whether the route is absent.
func (r Route) IsZero() bool { return !r.Endpoint.IsValid() }

// Header is common to all packets of a flow.
type Header struct {
	// Flow is the client's random flow identifier.
	Flow uint64
	// Address is the service address: its IP names the customer, its port the
	// class.
	Address netip.AddrPort
	// Client is the address that replies to the client are sent to. Balancers set
	// it from the source of the datagram; upstreams echo it.
	Client netip.AddrPort
	// Handshake is the number that the upstream chose when it accepted the
	// flow; 0 before that.
	Handshake uint32
	// Route is the content of an authenticated route token; zero if the packet
	// carries none.
	Route Route
}

// Packet is one message of a flow.
type Packet struct {
	Header
	// Body is never nil in a valid packet.
	Body Body
}

// timeoutAfter returns what is left of a timeout after d, and whether anything is. A
// timeout of 0 means none.
func timeoutAfter(timeout, d time.Duration) (time.Duration, bool) {
	if timeout == 0 {
		return 0, true
	}
	return timeout - d, timeout > d
}

// WithWait returns a copy after the packet has waited for d. It reports false if
// its sender has given it up meanwhile.
func (p Packet) WithWait(d time.Duration) (Packet, bool) {
	switch b := p.Body.(type) {
	case *Open:
		left, ok := timeoutAfter(b.Timeout, d)
		next := *b
		next.Timeout = left
		p.Body = &next
		return p, ok
	case *Request:
		left, ok := timeoutAfter(b.Timeout, d)
		next := *b
		next.Timeout = left
		p.Body = &next
		return p, ok
	case *Accept, *Answer, *Refuse, *Cancel, *Data, *Ack, *Close, *Reset:
	}
	return p, true
}
