package subcmd

import "github.com/google/subcommands"

// Exit codes of the commands that do work or judge it.
const (
	// ExitNotRun means that the work was refused and did not run.
	ExitNotRun subcommands.ExitStatus = 10
	// ExitInvariant means that a run finished and an invariant broke.
	ExitInvariant subcommands.ExitStatus = 11
)

// RegisterTools adds the commands that try the system out.
func RegisterTools(cdr *subcommands.Commander, e Env) {
	for _, c := range []subcommands.Command{&Demo{Env: e}, &Load{Env: e}, &Call{Env: e}, &Upstream{Env: e}} {
		cdr.Register(c, "trials")
	}
}
