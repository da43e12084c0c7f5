package admit

import (
	"time"

	"egretdock/core/model"
	"egretdock/core/packet"
)

// Key identifies one unit of work of an upstream.
type Key struct {
	Flow uint64
	// Request is the request identifier, or 0 for the opening of the flow.
	Request uint64
}

// Item is a unit of work that asks for capacity of one upstream. It is
// immutable.
type Item struct {
	Key Key
	// Customer receives capacity of its class in proportion to Weight.
	Customer string
	// Weight is above 0.
	Weight float64
	// Class has the customer's priority applied.
	Class model.Class
	// Deadline is when the client gives up; zero means never.
	Deadline time.Time
}

// Verdict is the result of asking for capacity.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Granted means that the item holds capacity and must be forwarded now.
type Granted struct{}

// Queued means that the item waits; later it is returned by Pop or dropped.
type Queued struct {
	// Length is the number of queued items of the upstream, this one included.
	Length int
}

// Rejected means that the item was neither granted nor queued.
type Rejected struct {
	Reason packet.Reason
	// RetryAfter is jittered, so that clients do not retry at the same time.
	RetryAfter time.Duration
}

func (Granted) verdict()  {}
func (Queued) verdict()   {}
func (Rejected) verdict() {}

// Outcome is how a granted item ended.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered means that the upstream ran the work.
type Answered struct {
	// Latency is the time from forwarding to the answer.
	Latency time.Duration
}

// Shed means that the upstream refused the work.
type Shed struct{}

// Abandoned means that the item ended without an answer or a refusal from the
// upstream.
type Abandoned struct{}

func (Answered) outcome()  {}
func (Shed) outcome()      {}
func (Abandoned) outcome() {}

// Dropped is a queued item that will not be granted.
type Dropped struct {
	Item       Item
	Reason     packet.Reason
	RetryAfter time.Duration
}

// Load is the load of an upstream as its owner counts it.
type Load struct {
	// InFlight counts granted items that have not finished.
	InFlight int
	// Queued counts the items that wait for a grant.
	Queued int
	// Limit is the concurrency limit in force; at least 1.
	Limit int
}

// HasCapacity reports whether a new item would be granted at once.
func (l Load) HasCapacity() bool { return l.Queued == 0 && l.InFlight < l.Limit }
