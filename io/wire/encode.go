package wire

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"egretdock/core/packet"
)

// kind is the type of a packet's body. Its values are sent on the wire.
type kind uint64

const (
	kindOpen kind = iota + 1
	kindAccept
	kindRequest
	kindAnswer
	kindRefuse
	kindCancel
	kindData
	kindAck
	kindClose
	kindReset
)

// Field numbers of packet.proto.
const (
	fieldKind        = 1
	fieldFlow        = 2
	fieldAddress     = 3
	fieldClient      = 4
	fieldHandshake   = 5
	fieldToken       = 6
	fieldIncarnation = 7
	fieldID          = 8
	fieldAttempt     = 9
	fieldTimeout     = 10
	fieldPayload     = 11
	fieldReason      = 12
	fieldRetryAfter  = 13
	fieldPart        = 14
	fieldParts       = 15
	fieldLoad        = 16
	fieldSeq         = 17
	fieldPadding     = 18
	fieldRouted      = 19
)

// MinOpenSize is the minimum size of an opening in bytes. No reply to an opening
// is longer, so that balancers do not amplify traffic to forged source addresses.
const MinOpenSize = 160

// Append encodes a packet to or from an upstream, or one from a client without a
// token.
func Append(dst []byte, p *packet.Packet) []byte {
	dst = appendHeader(dst, p)
	if p.Route.Incarnation != 0 {
		dst = appendFixed64(dst, fieldIncarnation, p.Route.Incarnation)
	}
	return appendBody(dst, p.Body)
}

// AppendWithToken encodes a packet from a client that echoes token. Openings are
// padded to MinOpenSize.
func AppendWithToken(dst []byte, p *packet.Packet, token []byte) []byte {
	start := len(dst)
	dst = appendHeader(dst, p)
	if len(token) > 0 {
		dst = appendBytes(dst, fieldToken, token)
	}
	dst = appendBody(dst, p.Body)
	if _, ok := p.Body.(*packet.Open); ok {
		dst = appendBytes(dst, fieldPadding, padding[:max(0, MinOpenSize-(len(dst)-start))])
	}
	return dst
}

// AppendForClient encodes a packet for a client. An accept carries its route as
// a token.
func (s *Sealer) AppendForClient(dst []byte, p *packet.Packet) []byte {
	dst = appendHeader(dst, p)
	if _, ok := p.Body.(*packet.Accept); ok && !p.Route.IsZero() {
		dst = protowire.AppendTag(dst, fieldToken, protowire.BytesType)
		dst = append(dst, 0) // length, set below; a token is shorter than 128 bytes
		tokenStart := len(dst)
		dst = s.appendToken(dst, &p.Header)
		dst[tokenStart-1] = byte(len(dst) - tokenStart)
	}
	return appendBody(dst, p.Body)
}

// padding is the content of the padding field.
var padding [MinOpenSize]byte

func appendHeader(dst []byte, p *packet.Packet) []byte {
	dst = appendVarint(dst, fieldKind, uint64(kindOf(p.Body)))
	dst = appendFixed64(dst, fieldFlow, p.Flow)
	dst = appendAddrField(dst, fieldAddress, p.Address)
	dst = appendAddrField(dst, fieldClient, p.Client)
	if p.Handshake != 0 {
		dst = protowire.AppendTag(dst, fieldHandshake, protowire.Fixed32Type)
		dst = protowire.AppendFixed32(dst, p.Handshake)
	}
	return dst
}

func kindOf(b packet.Body) kind {
	switch b.(type) {
	case *packet.Open:
		return kindOpen
	case *packet.Accept:
		return kindAccept
	case *packet.Request:
		return kindRequest
	case *packet.Answer:
		return kindAnswer
	case *packet.Refuse:
		return kindRefuse
	case *packet.Cancel:
		return kindCancel
	case *packet.Data:
		return kindData
	case *packet.Ack:
		return kindAck
	case *packet.Close:
		return kindClose
	case *packet.Reset:
		return kindReset
	}
	return 0
}

func appendBody(dst []byte, b packet.Body) []byte {
	switch b := b.(type) {
	case *packet.Open:
		dst = appendVarint(dst, fieldAttempt, uint64(b.Attempt))
		dst = appendDuration(dst, fieldTimeout, b.Timeout)
	case *packet.Accept:
		dst = appendVarint(dst, fieldLoad, uint64(b.Load))
	case *packet.Request:
		dst = appendFixed64(dst, fieldID, b.ID)
		dst = appendVarint(dst, fieldAttempt, uint64(b.Attempt))
		dst = appendDuration(dst, fieldTimeout, b.Timeout)
		dst = appendBytes(dst, fieldPayload, b.Payload)
	case *packet.Answer:
		dst = appendFixed64(dst, fieldID, b.ID)
		dst = appendVarint(dst, fieldPart, uint64(b.Part))
		dst = appendVarint(dst, fieldParts, uint64(b.Parts))
		dst = appendVarint(dst, fieldLoad, uint64(b.Load))
		dst = appendBytes(dst, fieldPayload, b.Payload)
	case *packet.Refuse:
		dst = appendRefusal(dst, b.ID, b.Attempt, b.Reason, b.RetryAfter)
	case *packet.Cancel:
		dst = appendRefusal(dst, b.ID, b.Attempt, b.Reason, b.RetryAfter)
	case *packet.Data:
		dst = appendVarint(dst, fieldSeq, b.Seq)
		dst = appendBytes(dst, fieldPayload, b.Payload)
	case *packet.Ack:
		dst = appendVarint(dst, fieldSeq, b.Seq)
	case *packet.Close:
	case *packet.Reset:
		dst = appendRefusal(dst, b.ID, b.Attempt, b.Reason, 0)
		if b.RouteKnown {
			dst = appendVarint(dst, fieldRouted, 1)
		}
	}
	return dst
}

func appendRefusal(dst []byte, id uint64, attempt uint32, r packet.Reason, retryAfter time.Duration) []byte {
	dst = appendFixed64(dst, fieldID, id)
	dst = appendVarint(dst, fieldAttempt, uint64(attempt))
	dst = appendVarint(dst, fieldReason, uint64(r))
	return appendDuration(dst, fieldRetryAfter, retryAfter)
}

func appendVarint(dst []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, n, protowire.VarintType)
	return protowire.AppendVarint(dst, v)
}

func appendFixed64(dst []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, n, protowire.Fixed64Type)
	return protowire.AppendFixed64(dst, v)
}

func appendBytes(dst []byte, n protowire.Number, b []byte) []byte {
	if len(b) == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, n, protowire.BytesType)
	return protowire.AppendBytes(dst, b)
}

func appendDuration(dst []byte, n protowire.Number, d time.Duration) []byte {
	if d <= 0 {
		return dst
	}
	return appendVarint(dst, n, uint64(max(1, d.Microseconds())))
}

func appendAddrField(dst []byte, n protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return dst
	}
	dst = protowire.AppendTag(dst, n, protowire.BytesType)
	if a.Addr().Unmap().Is4() {
		dst = append(dst, 6)
	} else {
		dst = append(dst, 18)
	}
	return appendAddr(dst, a)
}
