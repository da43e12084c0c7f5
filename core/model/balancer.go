package model

import "net/netip"

// Balancer identifies one running balancer process. It is immutable.
type Balancer struct {
	// Name is unique in the fleet.
	Name string
	// DataCentre is where the balancer runs.
	DataCentre string
	// Incarnation grows each time the process restarts or rejoins.
	Incarnation uint64
	// Peer receives datagrams from other balancers.
	Peer netip.AddrPort
	// Fetch serves configuration to other balancers.
	Fetch netip.AddrPort
	// Capacity is the processor time that its host gives it, in thousandths of a
	// core; 0 when unknown.
	Capacity uint32
}

// WithIncarnation returns a copy with another incarnation.
func (b Balancer) WithIncarnation(n uint64) Balancer {
	b.Incarnation = n
	return b
}
