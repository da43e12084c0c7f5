package load

import (
	"strings"

	"egretdock/core/fault"
	"egretdock/io/daemon"
	"egretdock/io/emul/bare"
	"egretdock/io/emul/fleet"
)

// Policy selects the program that runs as the balancers.
//
//sumtype:decl
type Policy interface {
	policy()
	String() string
}

// Egretdock runs the balancer daemon.
type Egretdock struct{}

// Bare runs a relay that places each packet by a hash of its flow and has no
// queues, limits or communication between balancers.
type Bare struct{}

// Random runs the relay of Bare, but places each new flow at random.
type Random struct{}

func (Egretdock) policy() {}
func (Bare) policy()      {}
func (Random) policy()    {}

// String implements Policy.
func (Egretdock) String() string { return "egretdock" }

// String implements Policy.
func (Bare) String() string { return "bare" }

// String implements Policy.
func (Random) String() string { return "random" }

// Policies returns the names of the policies.
func Policies() []string {
	return []string{Egretdock{}.String(), Bare{}.String(), Random{}.String()}
}

// ParsePolicy returns the named policy.
func ParsePolicy(name string) (Policy, error) {
	for _, p := range []Policy{Egretdock{}, Bare{}, Random{}} {
		if p.String() == name {
			return p, nil
		}
	}
	return nil, fault.New(fault.KindNotFound, "unknown policy "+name, "choose one of "+strings.Join(Policies(), ", "))
}

// fleetOptions returns the options that start the balancers of a policy.
func fleetOptions(p Policy) fleet.Options {
	switch p.(type) {
	case Bare:
		return bareRelayOptions(bare.Hash{})
	case Random:
		return bareRelayOptions(bare.Random{})
	case Egretdock:
	}
	return fleet.Options{}
}

func bareRelayOptions(placement bare.Placement) fleet.Options {
	return fleet.Options{Start: func(cfg daemon.Config) (fleet.Process, error) { return bare.New(cfg, placement) }}
}
