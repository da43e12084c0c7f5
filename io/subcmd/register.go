// Package subcmd holds the commands of the egretdock program.
package subcmd

import "github.com/google/subcommands"

// Exit codes beyond those of subcommands (0 success, 1 failure, 2 wrong
// usage).
const (
	// ExitNotRun means that the work was refused and did not run.
	ExitNotRun subcommands.ExitStatus = 3
	// ExitUnknown means that the work may have run.
	ExitUnknown subcommands.ExitStatus = 4
	// ExitInvariant means that a run finished and an invariant broke.
	ExitInvariant subcommands.ExitStatus = 5
)

// Register adds all commands to the default commander.
func Register() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&Demo{}, "try")
	subcommands.Register(&Load{}, "try")
	subcommands.Register(&Call{}, "try")
	subcommands.Register(&Upstream{}, "try")
}
