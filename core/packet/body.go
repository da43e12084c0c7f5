package packet

import "time"

// Body is the type-specific part of a packet.
//
//sumtype:decl
type Body interface{ body() }

// Reason says why work was refused or a flow was reset.
type Reason uint8

// Reasons. Their values are sent on the wire.
const (
	ReasonNone Reason = iota
	ReasonOverload
	ReasonDeadline
	ReasonShed
	ReasonDraining
	ReasonConnections
	ReasonCancelled
	ReasonLimit
	ReasonNoConfig
	ReasonNoAddress
	ReasonNoUpstream
	ReasonUnknownFlow
	ReasonShutdown
)

var reasonNames = [...]string{
	ReasonNone:        "none",
	ReasonOverload:    "overload",
	ReasonDeadline:    "deadline",
	ReasonShed:        "shed",
	ReasonDraining:    "draining",
	ReasonConnections: "connections",
	ReasonCancelled:   "cancelled",
	ReasonLimit:       "limit",
	ReasonNoConfig:    "no_config",
	ReasonNoAddress:   "no_address",
	ReasonNoUpstream:  "no_upstream",
	ReasonUnknownFlow: "unknown_flow",
	ReasonShutdown:    "shutdown",
}

// String returns the reason in snake case.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "none"
}

// Open asks for a flow. The upstream runs no work for it.
type Open struct {
	// Attempt is the number of the transmission, from 1.
	Attempt uint32
	// Timeout is the time left until the client gives up; 0 means none.
	Timeout time.Duration
}

// Accept confirms a flow. Header.Handshake and Header.Route are set.
type Accept struct {
	// Load is the number of requests running or queued at the upstream.
	Load uint32
}

// Request asks for work on an established flow.
type Request struct {
	// ID is unique within the flow and never 0.
	ID uint64
	// Attempt is the number of the transmission, from 1.
	Attempt uint32
	// Timeout is the time left until the client gives up; 0 means none.
	Timeout time.Duration
	// Payload is valid until the packet is released by its reader.
	Payload []byte
}

// Answer carries one part of the answer to a request.
type Answer struct {
	ID uint64
	// Part counts from 0 and is below Parts.
	Part, Parts uint32
	// Load is the number of requests running or queued at the upstream.
	Load    uint32
	Payload []byte
}

// Refuse states that a request or opening has not run and that no copy of it
// will run.
type Refuse struct {
	// ID is the request, or 0 for the opening of the flow.
	ID uint64
	// Attempt is the number of the refused transmission.
	Attempt uint32
	Reason  Reason
	// RetryAfter is the time to wait before the next attempt.
	RetryAfter time.Duration
}

// Cancel asks the upstream not to run a request. If the request has not started,
// the upstream answers with Refuse and never runs it afterwards.
type Cancel struct {
	ID      uint64
	Attempt uint32
	// Reason is copied to the resulting Refuse.
	Reason Reason
	// RetryAfter is copied to the resulting Refuse.
	RetryAfter time.Duration
}

// Data carries an upload chunk or a pushed message.
type Data struct {
	// Seq counts from 1 in each direction.
	Seq     uint64
	Payload []byte
}

// Ack confirms Data up to Seq; from a client it also keeps a feed open.
type Ack struct {
	Seq uint64
}

// Close ends a flow.
type Close struct{}

// Reset states that the upstream does not hold the flow. It proves that the
// packet that it responds to was not run.
type Reset struct {
	// ID is the request that was answered with the reset, or 0.
	ID      uint64
	Attempt uint32
	Reason  Reason
	// RouteKnown is true if the packet named an incarnation of the upstream, which
	// means that it was sent by its route and not to a candidate.
	RouteKnown bool
}

func (*Open) body()    {}
func (*Accept) body()  {}
func (*Request) body() {}
func (*Answer) body()  {}
func (*Refuse) body()  {}
func (*Cancel) body()  {}
func (*Data) body()    {}
func (*Ack) body()     {}
func (*Close) body()   {}
func (*Reset) body()   {}

// Clone returns a deep copy that stays valid after the reader reuses its buffers.
func (p Packet) Clone() Packet {
	switch b := p.Body.(type) {
	case *Open:
		c := *b
		p.Body = &c
	case *Accept:
		c := *b
		p.Body = &c
	case *Request:
		c := *b
		c.Payload = append([]byte(nil), b.Payload...)
		p.Body = &c
	case *Answer:
		c := *b
		c.Payload = append([]byte(nil), b.Payload...)
		p.Body = &c
	case *Refuse:
		c := *b
		p.Body = &c
	case *Cancel:
		c := *b
		p.Body = &c
	case *Data:
		c := *b
		c.Payload = append([]byte(nil), b.Payload...)
		p.Body = &c
	case *Ack:
		c := *b
		p.Body = &c
	case *Close:
		p.Body = &Close{}
	case *Reset:
		c := *b
		p.Body = &c
	}
	return p
}
