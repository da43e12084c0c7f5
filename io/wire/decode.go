// Package wire encodes and decodes packets and relays in the protobuf wire
// format of packet.proto. Relays and the route tokens that clients echo are
// authenticated, not encrypted.
package wire

import (
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"egretdock/core/fault"
	"egretdock/core/packet"
)

// ErrMalformed is returned for datagrams that cannot be decoded.
var ErrMalformed = fault.New(fault.KindInvalid, "malformed packet", "check that the sender uses packet.proto")

// ErrShortOpen is returned for an opening that is shorter than MinOpenSize.
var ErrShortOpen = fault.New(fault.KindInvalid, "opening shorter than 160 bytes", "pad openings to 160 bytes")

// ErrUnauthentic is returned for a route token or relay tag that is not
// authentic.
var ErrUnauthentic = fault.New(fault.KindUnauthentic, "route token or relay tag is not authentic",
	"in clients, echo the token of the accept unchanged, for the same flow and address; on balancers, set the same fleet key")

// Decoder decodes packets without allocating. A decoded packet is valid until
// the next call; its payload is a slice of the input. The zero value is ready
// for use. A Decoder is not safe for concurrent use.
type Decoder struct {
	fields fields

	open    packet.Open
	accept  packet.Accept
	request packet.Request
	answer  packet.Answer
	refuse  packet.Refuse
	cancel  packet.Cancel
	data    packet.Data
	ack     packet.Ack
	closing packet.Close
	reset   packet.Reset
}

// fields holds the raw values of one message.
type fields struct {
	kind                     kind
	flow, incarnation, id    uint64
	address, client          netip.AddrPort
	handshake                uint32
	attempt, part, parts     uint32
	load, reason, routed     uint32
	timeout, retryAfter, seq uint64
	token, payload           []byte
}

// Decode decodes a packet between a balancer and an upstream, or one that a
// client receives.
func (d *Decoder) Decode(b []byte, p *packet.Packet) error {
	if err := d.fields.parse(b); err != nil {
		return err
	}
	return d.buildPacket(p)
}

// Token returns the token of the last packet decoded, as a slice of the input.
func (d *Decoder) Token() []byte { return d.fields.token }

// DecodeFromClient decodes a packet that a client sent and verifies its token.
// The packet's client address and incarnation are ignored: replies go to the
// source of the datagram, and only a token sets a route.
func (d *Decoder) DecodeFromClient(b []byte, source netip.AddrPort, s *Sealer, p *packet.Packet) error {
	if err := d.fields.parse(b); err != nil {
		return err
	}
	if d.fields.kind == kindOpen && len(b) < MinOpenSize {
		return ErrShortOpen
	}
	d.fields.incarnation = 0
	if err := d.buildPacket(p); err != nil {
		return err
	}
	p.Client = source
	if len(d.fields.token) == 0 {
		return nil
	}
	r, ok := s.verifyToken(d.fields.token, &p.Header)
	if !ok {
		return ErrUnauthentic
	}
	p.Route = r
	return nil
}

func (d *Decoder) buildPacket(p *packet.Packet) error {
	f := &d.fields
	p.Header = packet.Header{
		Flow:      f.flow,
		Address:   f.address,
		Client:    f.client,
		Handshake: f.handshake,
		Route:     packet.Route{Incarnation: f.incarnation},
	}
	switch f.kind {
	case kindOpen:
		d.open = packet.Open{Attempt: f.attempt, Timeout: microsToDuration(f.timeout)}
		p.Body = &d.open
	case kindAccept:
		d.accept = packet.Accept{Load: f.load}
		p.Body = &d.accept
	case kindRequest:
		d.request = packet.Request{ID: f.id, Attempt: f.attempt, Timeout: microsToDuration(f.timeout), Payload: f.payload}
		p.Body = &d.request
	case kindAnswer:
		d.answer = packet.Answer{ID: f.id, Part: f.part, Parts: f.parts, Load: f.load, Payload: f.payload}
		p.Body = &d.answer
	case kindRefuse:
		d.refuse = packet.Refuse{ID: f.id, Attempt: f.attempt, Reason: packet.Reason(f.reason), RetryAfter: microsToDuration(f.retryAfter)}
		p.Body = &d.refuse
	case kindCancel:
		d.cancel = packet.Cancel{ID: f.id, Attempt: f.attempt, Reason: packet.Reason(f.reason), RetryAfter: microsToDuration(f.retryAfter)}
		p.Body = &d.cancel
	case kindData:
		d.data = packet.Data{Seq: f.seq, Payload: f.payload}
		p.Body = &d.data
	case kindAck:
		d.ack = packet.Ack{Seq: f.seq}
		p.Body = &d.ack
	case kindClose:
		p.Body = &d.closing
	case kindReset:
		d.reset = packet.Reset{ID: f.id, Attempt: f.attempt, Reason: packet.Reason(f.reason), RouteKnown: f.routed != 0}
		p.Body = &d.reset
	default:
		return ErrMalformed
	}
	return nil
}

// maxDurationMicros is the longest duration that a packet can carry; longer ones
// are reduced to it.
const maxDurationMicros = uint64(24 * time.Hour / time.Microsecond)

func microsToDuration(v uint64) time.Duration {
	return time.Duration(min(v, maxDurationMicros)) * time.Microsecond
}

func (f *fields) parse(b []byte) error {
	*f = fields{}
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		if n = f.consumeField(num, typ, b); n < 0 {
			return ErrMalformed
		}
		b = b[n:]
	}
	if !f.address.IsValid() {
		return ErrMalformed
	}
	return nil
}

// consumeField stores the value at the start of b and returns its length, or a
// negative number if it is malformed.
func (f *fields) consumeField(num protowire.Number, typ protowire.Type, b []byte) int {
	switch typ {
	case protowire.VarintType:
		v, n := protowire.ConsumeVarint(b)
		if n > 0 && !f.setVarint(num, v) {
			return -1
		}
		return n
	case protowire.Fixed64Type:
		v, n := protowire.ConsumeFixed64(b)
		f.setFixed64(num, v)
		return n
	case protowire.Fixed32Type:
		v, n := protowire.ConsumeFixed32(b)
		if num == fieldHandshake {
			f.handshake = v
		}
		return n
	case protowire.BytesType:
		v, n := protowire.ConsumeBytes(b)
		if n > 0 && !f.setBytes(num, v) {
			return -1
		}
		return n
	default:
		return protowire.ConsumeFieldValue(num, typ, b)
	}
}

// setVarint stores a value and reports whether it is in range.
func (f *fields) setVarint(num protowire.Number, v uint64) bool {
	switch num {
	case fieldTimeout:
		f.timeout = v
		return true
	case fieldRetryAfter:
		f.retryAfter = v
		return true
	case fieldSeq:
		f.seq = v
		return true
	}
	if v > math.MaxUint32 {
		return num > fieldPadding // skip fields of later versions
	}
	switch num {
	case fieldKind:
		f.kind = kind(v)
	case fieldAttempt:
		f.attempt = uint32(v)
	case fieldReason:
		if v > math.MaxUint8 {
			return false
		}
		f.reason = uint32(v)
	case fieldPart:
		f.part = uint32(v)
	case fieldParts:
		f.parts = uint32(v)
	case fieldLoad:
		f.load = uint32(v)
	case fieldRouted:
		f.routed = uint32(v)
	}
	return true
}

func (f *fields) setFixed64(num protowire.Number, v uint64) {
	switch num {
	case fieldFlow:
		f.flow = v
	case fieldIncarnation:
		f.incarnation = v
	case fieldID:
		f.id = v
	}
}

// setBytes stores a value and reports whether it is valid.
func (f *fields) setBytes(num protowire.Number, v []byte) bool {
	ok := true
	switch num {
	case fieldAddress:
		f.address, ok = parseAddr(v)
	case fieldClient:
		f.client, ok = parseAddr(v)
	case fieldToken:
		f.token = v
	case fieldPayload:
		f.payload = v
	}
	return ok
}
