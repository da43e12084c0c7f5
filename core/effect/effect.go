// Package effect defines everything that the engine asks a front end to do.
package effect

import (
	"net/netip"

	"egretdock/core/input"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// Effect is one action for the front end.
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

// Event reports something for the log. Its fields are key=value pairs.
type Event struct {
	// Name is in snake case.
	Name string
	// Flow is the flow concerned, or 0.
	Flow     uint64
	Customer string
	Upstream string
	// Revision is the configuration revision concerned, or 0.
	Revision uint64
	// Detail says why, in a few words.
	Detail string
}

func (*ToUpstream) effect() {}
func (*ToClient) effect()   {}
func (*ToPeer) effect()     {}
func (*Gossip) effect()     {}
func (*Poll) effect()       {}
func (*Fetch) effect()      {}
func (*Event) effect()      {}
