// Package audit evaluates recorded runs: it checks the invariants and computes
// the metrics. Everything in it is a pure function of a History.
package audit

import (
	"net/netip"
	"time"

	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/io/emul/upstr"
)

// History is what was seen in one run. It is not modified by this package.
type History struct {
	Start, End time.Time
	Calls      []Call
	Flows      []Flow
	Pushes     []Push
	Runs       []upstr.Run
	Accepts    []upstr.Accept
	// Misrouted counts packets that reached an upstream of another service.
	Misrouted int
	Edits     []Edit
	InForce   []InForce
	Balancers []Life
	Faults    []Fault
	Phases    []Phase
	// Upstreams says which service each upstream serves.
	Upstreams map[string]string
	// PlatformCalls is the rate of calls that the platform served.
	PlatformCalls float64
	// Races are the outcomes of operators who edited one object at once.
	Races []Race
	// Control holds the balancers that ran from the start to the end of the load.
	Control []Control
	// Skipped counts arrivals that found the pool of clients exhausted.
	Skipped int
}

// Call is one request, or one upload with its final request.
type Call struct {
	Customer, Firm, Class string
	Kind                  model.ClassKind
	Idempotent            bool
	Address               netip.AddrPort
	// Payload is unique in the run.
	Payload string
	// Due is when the arrival was planned, Ended when the outcome was known.
	Due, Ended time.Time
	Outcome    Outcome
}

// Outcome is how a call ended for the client.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered means that the client got an answer.
type Answered struct {
	// Whole is true when the answer is the one for this call.
	Whole bool
}

// NotRun means that the client was told that the call was not run.
type NotRun struct{ Reason packet.Reason }

// Unknown means that the client does not know.
type Unknown struct{ Cause string }

// Broken means that an established upload lost its flow before its final
// request was sent.
type Broken struct{ Reason string }

// GaveUp means that the client's deadline passed before it had sent the final
// request of an upload; nothing ran.
type GaveUp struct{}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}
func (Broken) outcome()   {}
func (GaveUp) outcome()   {}

// Flow is one established feed or upload.
type Flow struct {
	ID       uint64
	Customer string
	Class    string
	Address  netip.AddrPort
	Opened   time.Time
	// Broken is when the flow was lost; zero if it was not.
	Broken time.Time
	Reason string
}

// Push counts the pushed messages that one customer got in a tenth of
// a second.
type Push struct {
	Customer, Class string
	At              time.Time
	Count           int
}

// Edit is an accepted change of the configuration.
type Edit struct {
	Revision uint64
	Accepted time.Time
}

// InForce says that a balancer put a revision in force.
type InForce struct {
	Balancer string
	Revision uint64
	At       time.Time
}

// Control is the control traffic of one balancer.
type Control struct {
	Balancer       string
	BytesPerSecond float64
}

// Life is the time in which a balancer ran.
type Life struct {
	Balancer, DataCentre string
	From                 time.Time
	// To is zero while it runs.
	To time.Time
}

// Phase is a part of the run with its own load.
type Phase struct {
	Name     PhaseName
	From, To time.Time
}

// PhaseName names a phase.
type PhaseName string

// Phases.
const (
	PhaseSteady PhaseName = "steady"
	PhaseFlood  PhaseName = "flood"
)

// Fault is something that the run did to the deployment.
//
//sumtype:decl
type Fault interface{ fault() }

// Drained means that an upstream began to drain.
type Drained struct {
	Upstream string
	At       time.Time
	// LastWork is when the upstream last took new work.
	LastWork time.Time
	// Until is when it was given work again; zero if never.
	Until time.Time
}

// Restarted means that an upstream forgot its flows.
type Restarted struct {
	Upstream string
	At       time.Time
}

// Killed means that a balancer stopped without notice.
type Killed struct {
	Balancer string
	At       time.Time
}

// Retired means that a balancer left in an orderly way.
type Retired struct {
	Balancer  string
	At, Ended time.Time
}

// Disturbed means that an upstream misbehaved, such as shedding or reporting a
// wrong load.
type Disturbed struct {
	Upstream, How string
	At            time.Time
	Until         time.Time
}

// Cut means that data centres were cut off.
type Cut struct {
	DataCentres []string
	At          time.Time
	// Healed is zero while the cut lasts.
	Healed time.Time
}

func (Drained) fault()   {}
func (Restarted) fault() {}
func (Killed) fault()    {}
func (Retired) fault()   {}
func (Disturbed) fault() {}
func (Cut) fault()       {}

// faults returns the faults of one type.
func faults[T Fault](h *History) []T {
	var out []T
	for _, f := range h.Faults {
		if t, ok := f.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

// changed reports whether the run did any planned change.
func (h *History) changed() bool {
	return len(h.Edits) > 0 || len(faults[Drained](h)) > 0 || len(faults[Retired](h)) > 0
}

// Race is the outcome of operators who edited one object at once.
type Race struct {
	Accepted  int `json:"accepted"`
	Conflicts int `json:"conflicts"`
	// Others counts edits that ended in another way.
	Others int `json:"others"`
}
