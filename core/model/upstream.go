package model

import (
	"cmp"
	"net/netip"
)

// Upstream is a server that handles the flows of customers. It is immutable.
type Upstream struct {
	// Name is unique in a configuration.
	Name string
	// DataCentre is where the upstream runs.
	DataCentre string
	// Endpoint receives flow packets; it belongs to one service at a time.
	Endpoint netip.AddrPort
	// Health is the address of the health and load endpoint (HTTP).
	Health netip.AddrPort
}

func compareUpstreams(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) }
