package member

import "egretdock/core/model"

// Message is a membership message between balancers.
//
//sumtype:decl
type Message interface{ message() }

// Status is what a balancer knows of another.
type Status uint8

// Statuses, from weakest to strongest at the same incarnation.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusLeaving
	StatusDead
)

var statusNames = [...]string{StatusAlive: "alive", StatusSuspect: "suspect", StatusLeaving: "leaving", StatusDead: "dead"}

// String returns the status in snake case.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// Update is one piece of news about a balancer.
type Update struct {
	Balancer model.Balancer
	Status   Status
}

// Ping probes a balancer.
type Ping struct {
	// Seq is echoed by the Ack.
	Seq  uint64
	From model.Balancer
	// Revision is the sender's configuration revision.
	Revision uint64
	Updates  []Update
}

// Ack answers a Ping.
type Ack struct {
	Seq      uint64
	From     model.Balancer
	Revision uint64
	Updates  []Update
}

// PingRequest asks the receiver to probe Target on behalf of From.
type PingRequest struct {
	Seq      uint64
	From     model.Balancer
	Target   model.Balancer
	Revision uint64
	Updates  []Update
}

func (*Ping) message()        {}
func (*Ack) message()         {}
func (*PingRequest) message() {}
