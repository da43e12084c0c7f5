// Package input defines everything that the engine reacts to, as typed values.
package input

import (
	"net/netip"
	"time"

	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// Input is one thing that happened outside the engine.
//
//sumtype:decl
type Input interface{ input() }

// FromClient is a packet that a client sent. Header.Client is its source.
type FromClient struct {
	Packet packet.Packet
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
}

// Relay is a packet on its way to the owner of an upstream.
type Relay struct {
	Packet packet.Packet
	// Target is the upstream endpoint whose owner must act.
	Target netip.AddrPort
	// StartIndex is the place of the candidate that was tried first.
	StartIndex uint8
	// Tried is the number of placement candidates tried before Target.
	Tried uint8
	// Hops counts the balancers that have relayed the packet. While members
	// disagree on the owner, it ends the exchange after MaxHops.
	Hops uint8
	// Forced ends the choice among candidates: the receiver queues or refuses
	// an opening, and admits a request although it holds no grant of its flow.
	Forced bool
	// Best and BestQueue name the least busy candidate so far and how busy it
	// was.
	Best      netip.AddrPort
	BestQueue uint32
}

// MaxHops is the number of times that a packet is relayed at most. It allows
// five placement candidates, the return to the best of them, and two
// redirections by balancers with another view of the members.
const MaxHops = 8

// Gossip is a membership message from another balancer.
type Gossip struct {
	Message member.Message
}

// ConfigReceived delivers a configuration that the platform or a peer holds.
type ConfigReceived struct {
	Config model.Config
}

// Hosts delivers the platform's list of balancers; it may lag.
type Hosts struct {
	Balancers []model.Balancer
}

// LoadReport is the answer of an upstream's health and load endpoint; it may
// lag or mislead.
type LoadReport struct {
	Endpoint netip.AddrPort
	// Healthy is false when the endpoint failed to answer or said so.
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

// FlowEnd is the client's last data or its reset of an opaque flow.
type FlowEnd struct{ Segment packet.Segment }

// RoutesConfirmed says that the store confirmed the routes of opaque flows. Routing has
// revision 0 when nothing has changed.
type RoutesConfirmed struct {
	Routing model.Routing
	// Age is the time since the store's answer, as another balancer passed it on.
	Age time.Duration
}

// InstancesListed delivers the whole list of instances. Entries that can't be read are
// listed with ChangeUnreadable.
type InstancesListed struct {
	Revision uint64
	Entries  []model.InstanceChange
	// Age is that of Routed.
	Age time.Duration
}

// InstancesChanged delivers the changes of the list of instances up to a revision;
// without changes it confirms the list.
type InstancesChanged struct {
	Revision uint64
	Changes  []model.InstanceChange
	// Age is that of Routed.
	Age time.Duration
}

// StoreAvailability says whether the store answers for the list of instances.
type StoreAvailability struct{ Unavailable bool }

// Wake lets time pass for openings that wait for an answer.
type Wake struct{}

// Tick lets time pass. Front ends send it every TickInterval.
type Tick struct{}

// Leave asks the balancer to stop: it hands over ownership and finishes what
// is in flight.
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
