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

// History records one run: the load, the faults, and what clients, balancers and
// upstreams observed.
type History struct {
	Start, End time.Time
	Calls      []Call
	Flows      []Flow
	Pushes     []PushCount
	Runs       []upstr.Run
	Accepts    []upstr.Accept
	// Misrouted counts packets that reached an upstream of another service.
	Misrouted int
	Edits     []Edit
	InForce   []InForce
	Balancers []Lifetime
	Faults    []Fault
	Phases    []Phase
	// Upstreams maps the name of each upstream to its service.
	Upstreams map[string]string
	// PlatformCalls is the number of calls per second that the platform served.
	PlatformCalls float64
	// Races are the outcomes of concurrent edits of one object.
	Races []Race
	// Control is the control traffic of the balancers that ran from the start to
	// the end of the load.
	Control []ControlTraffic
	// Skipped counts arrivals that were not sent because the pool of clients was
	// exhausted.
	Skipped int
}

// Call is one request, or one upload with its final request.
type Call struct {
	Customer, Firm, Class string
	Kind                  model.ClassKind
	Idempotent            bool
	Address               netip.AddrPort
	// Payload identifies the call and is unique in the run.
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

// Unknown means that the client does not know whether the call ran.
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

// Flow is an established feed or upload.
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

// PushCount counts the pushed messages of a class that a customer received in
// 100 ms.
type PushCount struct {
	Customer, Class string
	At              time.Time
	Count           int
}

// Edit is an accepted change of the configuration.
type Edit struct {
	Revision uint64
	Accepted time.Time
}

// InForce records when a balancer put a revision in force.
type InForce struct {
	Balancer string
	Revision uint64
	At       time.Time
}

// ControlTraffic is the control traffic of one balancer.
type ControlTraffic struct {
	Balancer       string
	BytesPerSecond float64
}

// Lifetime is the time for which a balancer ran.
type Lifetime struct {
	Balancer, DataCentre string
	From                 time.Time
	// To is zero while it runs.
	To time.Time
}

// Phase is a part of a run with a constant offered load.
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

// Fault is an operation or a failure that the run caused.
//
//sumtype:decl
type Fault interface{ fault() }

// Drained means that an upstream began to drain.
type Drained struct {
	Upstream string
	At       time.Time
	// LastWork is when the upstream last took new work.
	LastWork time.Time
	// Until is when the drain was undone; zero if never.
	Until time.Time
}

// Restarted means that an upstream restarted and lost its flows.
type Restarted struct {
	Upstream string
	At       time.Time
}

// Killed means that a balancer was killed without notice.
type Killed struct {
	Balancer string
	At       time.Time
}

// Retired means that a balancer shut down gracefully between At and Ended.
type Retired struct {
	Balancer  string
	At, Ended time.Time
}

// Impaired means that an upstream could not be expected to take its share of the
// work: it shed requests, reported a wrong load, or had just been added.
type Impaired struct {
	Upstream, How string
	At            time.Time
	Until         time.Time
}

// Cut means that a partition separated data centres from the others.
type Cut struct {
	DataCentres []string
	At          time.Time
	// Healed is when the partition ended; zero while it lasts.
	Healed time.Time
}

func (Drained) fault()   {}
func (Restarted) fault() {}
func (Killed) fault()    {}
func (Retired) fault()   {}
func (Impaired) fault()  {}
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

// hasPlannedChange reports whether the run had an edit, a drain or a graceful
// exit.
func (h *History) hasPlannedChange() bool {
	return len(h.Edits) > 0 || len(faults[Drained](h)) > 0 || len(faults[Retired](h)) > 0
}

// Race counts the outcomes of concurrent edits of one object.
type Race struct {
	Accepted  int `json:"accepted"`
	Conflicts int `json:"conflicts"`
	// Others counts edits with any other outcome.
	Others int `json:"others"`
}
