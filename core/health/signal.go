// Package health derives the state of upstreams from active checks (the reports
// of their health endpoints), from passive checks (observed traffic) and from
// the platform's host list. Its values are immutable.
package health

import "time"

// Signal is one observation of an upstream.
//
//sumtype:decl
type Signal interface{ signal() }

// Report is the answer of the health and load endpoint. It may be outdated or
// wrong.
type Report struct {
	// Incarnation is 0 when the endpoint failed to answer.
	Incarnation uint64
	// Healthy is false when the endpoint failed to answer or reported the
	// upstream as unhealthy.
	Healthy  bool
	Draining bool
	// Slots is 0 when unknown.
	Slots int
}

// HostList is the entry of the upstream's host in the platform's list. The list
// may be outdated and does not tell incarnations apart.
type HostList struct{ Leaving bool }

// Accepted means that the upstream accepted a flow.
type Accepted struct{ Incarnation uint64 }

// Answered means that the upstream answered a request.
type Answered struct {
	Incarnation uint64
	// Latency is the time from the request to its answer, or 0 when unknown.
	Latency time.Duration
}

// Refused means that the upstream refused work.
type Refused struct {
	Incarnation uint64
	// Draining is true when the upstream refused because it drains, and false
	// when it shed load.
	Draining bool
}

// Failed means that an opening or request got no answer by its deadline, or
// that the upstream reset a flow that it should hold. Resets in the search for
// the upstream of a flow without a route are not failures.
type Failed struct {
	Incarnation uint64
	// Opening is true for the opening of a flow.
	Opening bool
}

// FailedAtPeer means that the upstream failed at another balancer. Without
// confirmation by a third balancer or by this one it has no effect, since the
// fault may be at the peer.
type FailedAtPeer struct {
	// Peer identifies the other balancer; never 0.
	Peer uint64
}

func (Report) signal()       {}
func (HostList) signal()     {}
func (Accepted) signal()     {}
func (Answered) signal()     {}
func (Refused) signal()      {}
func (Failed) signal()       {}
func (FailedAtPeer) signal() {}
