// Package trial implements the subcommands that run the system on one machine:
// demo, load, call, upstream and soak.
package trial

import (
	"github.com/google/subcommands"

	"egretdock/io/cmdenv"
)

// Register adds the commands of this package to cdr.
func Register(cdr *subcommands.Commander, e cmdenv.Env) {
	for _, c := range []subcommands.Command{&Demo{Env: e}, &Load{Env: e}, &Call{Env: e}, &Upstream{Env: e}, &Soak{Env: e}} {
		cdr.Register(c, "trials")
	}
}
