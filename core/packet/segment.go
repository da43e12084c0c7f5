package packet

import "net/netip"

// FlowID names an opaque flow by its two ends. It is comparable.
type FlowID struct {
	Client netip.AddrPort
	// Address is the service address: it selects the route.
	Address netip.AddrPort
}

// SegmentKind is what a segment does to its flow.
type SegmentKind uint8

// Segment kinds.
const (
	// SegmentData carries data or an acknowledgement of an open flow.
	SegmentData SegmentKind = iota
	// SegmentOpen asks for a flow; any instance of the service may answer.
	SegmentOpen
	// SegmentFin is the last data of the client.
	SegmentFin
	// SegmentAbort is the client's reset.
	SegmentAbort
)

// Segment is one packet of an opaque flow, as a client sent it. The balancer
// carries it without reading its payload.
type Segment struct {
	Flow FlowID
	Kind SegmentKind
	// Copy counts the copies of an opening; 0 in other kinds.
	Copy uint32
	// Token is what the client last received from the flow's instance, or 0.
	Token uint32
	// Seq and Ack are the client's transport positions, modulo 2^32.
	Seq, Ack uint32
	// Data is the number of payload bytes.
	Data int
	// Request is the identifier of the request that starts in this segment, for
	// the log only; nil if none. Valid as long as Raw.
	Request []byte
	// Raw is the packet as received; valid only while its input is handled.
	Raw []byte
}
