package packet

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// FlowID identifies an opaque flow by its two ends. It is comparable.
type FlowID struct {
	Client netip.AddrPort
	// Address is the service address: it selects the route.
	Address netip.AddrPort
}

// Hash returns a hash of the flow that is the same on all balancers.
func (f FlowID) Hash() uint64 {
	var b [12]byte
	c, a := f.Client.Addr().As4(), f.Address.Addr().As4()
	copy(b[:], c[:])
	copy(b[4:], a[:])
	b[8], b[9] = byte(f.Client.Port()>>8), byte(f.Client.Port())
	b[10], b[11] = byte(f.Address.Port()>>8), byte(f.Address.Port())
	return xxhash.Sum64(b[:])
}

// SegmentKind is the effect of a segment on its flow.
type SegmentKind uint8

// Segment kinds.
const (
	// SegmentData carries data or an acknowledgement of an open flow.
	SegmentData SegmentKind = iota
	// SegmentOpen opens a flow; any instance of the service may answer.
	SegmentOpen
	// SegmentFin is the last data of the client.
	SegmentFin
	// SegmentReset is the client's reset.
	SegmentReset
)

// Segment is one packet of an opaque flow, as a client sent it. The balancer
// forwards it without interpreting its payload, except for Request.
type Segment struct {
	Flow FlowID
	Kind SegmentKind
	// Retransmit is the number of the retransmission of an opening, 0 for its
	// first transmission; 0 in other kinds.
	Retransmit uint32
	// Token is the token that the client last received from the flow's instance
	// and echoes, or 0.
	Token uint32
	// Seq and Ack are the client's sequence and acknowledgement numbers, modulo
	// 2^32.
	Seq, Ack uint32
	// PayloadLen is the number of payload bytes.
	PayloadLen int
	// Request is the identifier of the request that starts in this segment, or
	// nil. It is used only for the log and valid as long as Raw.
	Request []byte
	// Waited is the longest time that the packet may have waited unread because the
	// balancer's process did not run; 0 if it ran.
	Waited time.Duration
	// Raw is the packet as received. It is valid only while its input is handled.
	Raw []byte
}

// Clone returns a copy that stays valid after its input was handled.
func (s Segment) Clone() Segment {
	s.Raw, s.Request = bytes.Clone(s.Raw), bytes.Clone(s.Request)
	return s
}
