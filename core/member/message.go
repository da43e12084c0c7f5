package member

import (
	"egretdock/core/model"
	"egretdock/core/packet"
)

// Message is a membership message between balancers.
//
//sumtype:decl
type Message interface{ message() }

// Status is the state of a balancer as the failure detector sees it.
type Status uint8

// Statuses, in order of precedence: at the same incarnation a later one
// overrides an earlier one.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusLeaving
	StatusDead
)

var statusNames = [...]string{StatusAlive: "alive", StatusSuspect: "suspect", StatusLeaving: "leaving", StatusDead: "dead"}

// String returns the status in snake case.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// MaxUpdates is the highest number of updates piggybacked on one message.
const MaxUpdates = 6

// PageUpdates is the highest number of balancers in one Page. A page of
// balancers with names of ordinary length fits an Ethernet frame.
const PageUpdates = 20

// Update reports the status of one incarnation of a balancer.
type Update struct {
	// Balancer has only its name and incarnation set when Status is
	// StatusSuspect or StatusDead.
	Balancer model.Balancer
	Status   Status
}

// Header is common to all messages. It is immutable.
type Header struct {
	// Seq is chosen by the sender of a Ping, PingRequest or Pull and echoed in
	// the response.
	Seq uint64
	// From is the balancer that made the message. A relayed Ack keeps the
	// balancer that was probed.
	From model.Balancer
	// Revision is From's configuration revision.
	Revision uint64
	// Digest identifies the set of live balancers that From sees.
	Digest uint64
	// Updates are at most MaxUpdates, or PageUpdates in a Page.
	Updates []Update
}

// WithSeq returns a copy with another sequence number.
func (h Header) WithSeq(seq uint64) Header {
	h.Seq = seq
	return h
}

// Ping probes a balancer.
type Ping struct{ Header }

// Ack answers a Ping. A balancer that pinged on behalf of another passes the
// Ack on with the sequence number of the PingRequest.
type Ack struct{ Header }

// PingRequest asks the receiver to probe Target on behalf of From.
type PingRequest struct {
	Header
	Target model.Balancer
}

// Pull asks for the live balancers whose names follow After.
type Pull struct {
	Header
	After string
}

// Page answers a Pull. Its updates are in order of name.
type Page struct {
	Header
	// Next is the After of the next Pull; empty when nothing follows.
	Next string
}

// MaxFindings is the highest number of findings in one message. With 17 bytes
// each and the header, the message stays below 250 bytes.
const MaxFindings = 8

// Finding counts the recent failures of an instance at one balancer.
type Finding struct {
	// Instance is the ID of the instance.
	Instance uint64
	// Failures is the number of failures since the balancer last sent findings
	// about the instance; at least 1.
	Failures uint32
}

// Findings tells other balancers of a data centre which instances fail. It
// does not affect the failure detector.
type Findings struct {
	Header
	// List has at most MaxFindings entries.
	List []Finding
}

// FlowQuery asks what the receiver knows of an opaque flow. It does not affect
// the failure detector.
type FlowQuery struct {
	Header
	Flow packet.FlowID
}

// MaxFlowInstances is the highest number of instances in one FlowReport.
const MaxFlowInstances = 4

// FlowReport says what its sender knows of an opaque flow. It does not affect the
// failure detector.
type FlowReport struct {
	Header
	Flow packet.FlowID
	// Start is the client's initial sequence number.
	Start uint32
	// Open is true if the flow is open at the only one of Instances. Otherwise they
	// are those that got an opening.
	Open bool
	// Instances are the IDs of 1 to MaxFlowInstances instances.
	Instances []uint64
}

// Envelope is a message and the balancer to send it to. It is immutable.
type Envelope struct {
	To      model.Balancer
	Message Message
}

func (*Ping) message()        {}
func (*Ack) message()         {}
func (*PingRequest) message() {}
func (*Pull) message()        {}
func (*Page) message()        {}
func (*Findings) message()    {}
func (*FlowQuery) message()   {}
func (*FlowReport) message()  {}
