// Package input defines the inputs of the engine as typed values.
package input

import (
	"net/netip"
	"time"

	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// Input is one event outside the engine: a received packet or message, the
// result of a request, or the passing of time.
//
//sumtype:decl
type Input interface{ input() }

// FromClient is a packet that a client sent. Header.Client is its source.
type FromClient struct {
	Packet packet.Packet
	// Waited is the longest time that the packet may have waited unread because the
	// balancer's process did not run; 0 if it ran.
	Waited time.Duration
}

// FromUpstream is a packet that arrived on the upstream-facing socket.
type FromUpstream struct {
	// Source is the datagram's source and must be a known upstream endpoint.
	Source netip.AddrPort
	Packet packet.Packet
}

// FromPeer is a packet that another balancer relayed.
type FromPeer struct {
	Relay Relay
	// Waited is as in FromClient.
	Waited time.Duration
}

// Relay is a packet on its way to the owner of an upstream.
type Relay struct {
	Packet packet.Packet
	// Target is the upstream endpoint whose owner must act.
	Target netip.AddrPort
	// StartIndex is the index of the placement candidate that was tried first.
	StartIndex uint8
	// Tried is the number of placement candidates tried before Target.
	Tried uint8
	// Hops counts the balancers that have relayed the packet. The limit of MaxHops
	// ends relaying between balancers that disagree on the owner.
	Hops uint8
	// Forced means that no other candidate is tried: the receiver queues or
	// refuses an opening, and admits a request without a grant of its flow.
	Forced bool
	// Best is the least loaded candidate so far, and BestQueue the queue length
	// that its owner reported.
	Best      netip.AddrPort
	BestQueue uint32
}

// MaxHops is the maximum number of times that a packet is relayed. It allows for
// five placement candidates, the return to the best of them, and two
// redirections by balancers with another view of the members.
const MaxHops = 8

// Gossip is a membership message from another balancer.
type Gossip struct {
	Message member.Message
}

// ConfigReceived delivers a configuration from the platform or a peer.
type ConfigReceived struct {
	Config model.Config
}

// Hosts delivers the platform's list of balancers, which may be out of date.
type Hosts struct {
	Balancers []model.Balancer
}

// LoadReport is the result of polling an upstream's health and load endpoint. It
// may be out of date or wrong.
type LoadReport struct {
	Endpoint netip.AddrPort
	// Healthy is false when the endpoint failed to answer or reported itself
	// unhealthy.
	Healthy bool
	// Incarnation is 0 when the endpoint failed to answer.
	Incarnation uint64
	Draining    bool
	// Running and Slots are counts of requests.
	Running, Slots int
}

// FlowOpen is an opening of an opaque flow; Segment.Kind is SegmentOpen.
type FlowOpen struct{ Segment packet.Segment }

// FlowContinue is a packet of an opaque flow that is open for its client.
type FlowContinue struct{ Segment packet.Segment }

// FlowEnd is the last data of a client, or its reset, on an opaque flow.
type FlowEnd struct{ Segment packet.Segment }

// RoutesConfirmed reports that the store confirmed the routes of opaque flows.
// Routing has no position when nothing has changed.
type RoutesConfirmed struct {
	Routing model.Routing
	// Age is the time since the store's answer if another balancer passed it on,
	// else 0.
	Age time.Duration
}

// InstancesListed delivers the full list of instances. Entries that can't be
// read have the kind ChangeUnreadable.
type InstancesListed struct {
	Position model.Position
	Entries  []model.InstanceChange
	// Age is as in RoutesConfirmed.
	Age time.Duration
}

// InstancesChanged delivers the changes of the list of instances up to Position.
// Without changes, it confirms the list.
type InstancesChanged struct {
	Position model.Position
	Changes  []model.InstanceChange
	// Age is as in RoutesConfirmed.
	Age time.Duration
}

// StoreAvailability reports whether the store can be read for the list of
// instances.
type StoreAvailability struct{ Unavailable bool }

// Wake is the expiry of a timer that effect.Wake set. It makes the engine send
// unanswered openings to another instance.
type Wake struct{}

// Tick makes the engine handle timeouts and periodic work. Front ends send it
// at a fixed interval.
type Tick struct {
	// Stalled is how long the process has not run since the last tick; 0 if it ran.
	Stalled time.Duration
}

// Leave asks the balancer to stop gracefully: it hands over ownership and
// completes the work in progress.
type Leave struct{}

// TickInterval is the interval between two ticks.
const TickInterval = 50 * time.Millisecond

func (*FromClient) input()        {}
func (*FromUpstream) input()      {}
func (*FromPeer) input()          {}
func (*Gossip) input()            {}
func (*ConfigReceived) input()    {}
func (*Hosts) input()             {}
func (*LoadReport) input()        {}
func (*FlowOpen) input()          {}
func (*FlowContinue) input()      {}
func (*FlowEnd) input()           {}
func (*RoutesConfirmed) input()   {}
func (*InstancesListed) input()   {}
func (*InstancesChanged) input()  {}
func (*StoreAvailability) input() {}
func (*Wake) input()              {}
func (*Tick) input()              {}
func (*Leave) input()             {}
