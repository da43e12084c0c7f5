// Package trial holds the commands that try the system out on one machine: demo,
// load, call, upstream and soak.
package trial

import (
	"github.com/google/subcommands"

	"egretdock/io/cmdenv"
)

// Register adds the commands.
func Register(cdr *subcommands.Commander, e cmdenv.Env) {
	for _, c := range []subcommands.Command{&Demo{Env: e}, &Load{Env: e}, &Call{Env: e}, &Upstream{Env: e}, &Soak{Env: e}} {
		cdr.Register(c, "trials")
	}
}
