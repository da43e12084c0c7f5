package load

import (
	"egretdock/core/fault"
	"egretdock/io/emul/fleet"
)

// Policy selects what runs as a balancer.
//
//sumtype:decl
type Policy interface {
	policy()
	String() string
	options() fleet.Options
}

// Egretdock runs the real daemon.
type Egretdock struct{}

func (Egretdock) policy() {}

// String implements Policy.
func (Egretdock) String() string { return "egretdock" }

func (Egretdock) options() fleet.Options { return fleet.Options{} }

// ParsePolicy returns the named policy.
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case "egretdock":
		return Egretdock{}, nil
	default:
		return nil, fault.New(fault.KindNotFound, "no policy "+name, "choose egretdock")
	}
}

// Policies returns the names of the policies.
func Policies() []string { return []string{"egretdock"} }
