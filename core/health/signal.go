// Package health judges upstreams from what their endpoints and the platform
// report and from what passing traffic shows. Its values are immutable.
package health

import "time"

// Signal is one observation of an upstream.
//
//sumtype:decl
type Signal interface{ signal() }

// Report is the answer of the health and load endpoint. It may lag or mislead.
type Report struct {
	// Incarnation is 0 when the endpoint failed to answer.
	Incarnation uint64
	// Healthy is false when the endpoint failed to answer or said so.
	Healthy  bool
	Draining bool
	// Slots is 0 when unknown.
	Slots int
}

// HostList is what the platform's list says about the upstream's host. It lags
// and knows no incarnations.
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
	// Draining is true when that was the reason; otherwise it sheds.
	Draining bool
}

// Failed means that an opening or request met silence until its deadline, or a
// reset of a flow that the upstream should hold. Resets in the search for the
// upstream of a flow without a route are not failures.
type Failed struct {
	Incarnation uint64
	// Opening is true for the opening of a flow.
	Opening bool
}

// FailedAtPeer means that the upstream failed at another balancer. One that nobody else
// confirms changes nothing, since the fault may be that balancer's.
type FailedAtPeer struct {
	// Peer identifies the balancer; never 0.
	Peer uint64
}

func (Report) signal()   {}
func (HostList) signal() {}
func (Accepted) signal() {}
func (Answered) signal() {}
func (Refused) signal()  {}
func (Failed) signal()   {}
func (FailedAtPeer) signal()     {}
