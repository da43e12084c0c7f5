package model

import (
	"maps"
	"net/netip"
	"slices"
)

// Limits bound what one customer may use of the whole fleet. Zero fields mean
// no limit.
type Limits struct {
	// OpenFlows is the number of flows open at one time.
	OpenFlows int
	// NewFlowsPerSecond is the rate of flow openings.
	NewFlowsPerSecond float64
	// BytesPerSecond is the rate of payload bytes from clients.
	BytesPerSecond float64
}

// Params are one customer's parameters for one template. They are immutable.
type Params struct {
	// Customer is unique in a configuration.
	Customer string
	// Template names an existing template.
	Template string
	// Address is the service address and is unique in a configuration.
	Address netip.Addr
	// Upstreams are sorted by name and never empty in an accepted
	// configuration.
	Upstreams []Upstream
	// Weight sets the customer's part of a class's capacity, relative to other
	// customers; 0 means 1.
	Weight float64
	// Priority overrides the priority of classes by class name; never modified
	// in place.
	Priority map[string]uint8
	// Limits bound the customer's use of the fleet.
	Limits Limits
}

// EffectiveWeight returns the weight with its default applied.
func (p Params) EffectiveWeight() float64 {
	if p.Weight <= 0 {
		return 1
	}
	return p.Weight
}

// WithUpstream returns a copy in which u is added or replaces the upstream of
// the same name.
func (p Params) WithUpstream(u Upstream) Params {
	p = p.WithoutUpstream(u.Name)
	p.Upstreams = append(p.Upstreams, u)
	slices.SortFunc(p.Upstreams, compareUpstreams)
	return p
}

// WithoutUpstream returns a copy without the named upstream.
func (p Params) WithoutUpstream(name string) Params {
	kept := make([]Upstream, 0, len(p.Upstreams)+1)
	for _, u := range p.Upstreams {
		if u.Name != name {
			kept = append(kept, u)
		}
	}
	p.Upstreams = kept
	return p
}

// WithPriority returns a copy with the priority of one class overridden.
func (p Params) WithPriority(class string, priority uint8) Params {
	m := maps.Clone(p.Priority)
	if m == nil {
		m = make(map[string]uint8, 1)
	}
	m[class] = priority
	p.Priority = m
	return p
}

// WithWeight returns a copy with another weight.
func (p Params) WithWeight(w float64) Params {
	p.Weight = w
	return p
}
