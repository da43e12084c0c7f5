// Package effect defines the actions that the engine returns to a front end.
package effect

import (
	"net/netip"
	"time"

	"egretdock/core/input"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// Effect is one action that the front end carries out.
//
//sumtype:decl
type Effect interface{ effect() }

// ToUpstream sends a packet to an upstream endpoint.
type ToUpstream struct {
	To     netip.AddrPort
	Packet packet.Packet
}

// ToClient sends a packet to Packet.Client. A non-zero Packet.Route is sealed
// into a route token.
type ToClient struct {
	Packet packet.Packet
}

// ToPeer relays a packet to another balancer.
type ToPeer struct {
	To    netip.AddrPort
	Relay input.Relay
}

// Gossip sends a membership message to another balancer.
type Gossip struct {
	To      netip.AddrPort
	Message member.Message
}

// Poll asks an upstream's health and load endpoint for a report.
type Poll struct {
	Upstream model.Upstream
}

// Fetch asks a peer for the configuration changes after Revision.
type Fetch struct {
	Peer     model.Balancer
	Revision uint64
}

// Deliver sends a client's packet to one instance with the instance's token.
type Deliver struct {
	To       netip.AddrPort
	Instance uint64
	Token    uint32
	// Raw is the packet as received. It is valid as long as the input that caused
	// the effect.
	Raw []byte
}

// ResetFlow resets an opaque flow at its client.
type ResetFlow struct {
	Flow packet.FlowID
	// Seq is the client's last acknowledgement number. The client accepts a reset
	// only if its sequence number is near this one.
	Seq uint32
}

// Wake asks for a Wake input after a delay.
type Wake struct{ After time.Duration }

// Event is an entry for the log. Its fields are written as key=value pairs.
type Event struct {
	// Name is in snake case.
	Name string
	// Flow is the identifier of the flow, or 0.
	Flow     uint64
	Customer string
	Upstream string
	// Revision is the revision of the configuration or of the routes, or 0, and Era
	// the era of the store that it belongs to.
	Revision, Era uint64
	// Detail gives the reason or further key=value pairs.
	Detail string

	// Client and Address are the ends of the opaque flow.
	Client, Address netip.AddrPort
	// Request is the identifier that the client gave the request.
	Request string
	// Service is the service that Upstream belongs to.
	Service string
	// Age is the time since the store confirmed Revision.
	Age time.Duration
	// ListRevision is the revision of the list of instances, ListEra its era, and
	// ListAge the time since the store confirmed it.
	ListRevision, ListEra uint64
	ListAge               time.Duration
	// Elapsed is the duration of the reported operation.
	Elapsed time.Duration
	// Load is the load of the chosen instance, and Candidates the number of
	// instances that it was chosen from.
	Load, Candidates int
}

func (*ToUpstream) effect() {}
func (*ToClient) effect()   {}
func (*ToPeer) effect()     {}
func (*Gossip) effect()     {}
func (*Poll) effect()       {}
func (*Fetch) effect()      {}
func (*Deliver) effect()    {}
func (*ResetFlow) effect()  {}
func (*Wake) effect()       {}
func (*Event) effect()      {}
