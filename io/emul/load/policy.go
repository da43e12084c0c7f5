package load

import (
	"strings"

	"egretdock/core/fault"
	"egretdock/io/daemon"
	"egretdock/io/emul/bare"
	"egretdock/io/emul/fleet"
)

// Policy selects what runs as a balancer.
//
//sumtype:decl
type Policy interface {
	policy()
	String() string
}

// Egretdock runs the real daemon.
type Egretdock struct{}

// Bare runs a bare relay that places each flow by hash.
type Bare struct{}

// Random runs a bare relay that places each flow at random.
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
	return nil, fault.New(fault.KindNotFound, "no policy "+name, "choose one of "+strings.Join(Policies(), ", "))
}

// fleetOptions returns how the balancers of a policy are started.
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

func bareRelayOptions(how bare.Placement) fleet.Options {
	return fleet.Options{Start: func(cfg daemon.Config) (fleet.Process, error) { return bare.New(cfg, how) }}
}
