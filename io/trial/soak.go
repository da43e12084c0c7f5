package trial

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/io/cmdenv"
	"egretdock/io/emul/soak"
)

// Soak runs balancer processes, injects faults drawn from a seed and checks the
// invariants.
type Soak struct {
	cmdenv.Env
	seed, seeds        uint64
	length             time.Duration
	processes, clients int
	dir                string
}

// Name implements subcommands.Command.
func (*Soak) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*Soak) Synopsis() string {
	return "run balancer processes under random faults and check invariants"
}

// Usage implements subcommands.Command.
func (*Soak) Usage() string {
	return `soak [-seed N] [-seeds N] [-for D] [-processes N] [-clients N] [-dir DIR]:
  Run balancers as processes on loopback with a stand-in store, upstreams and
  clients, inject faults from outside, and check the invariants from what
  clients and upstreams see. Print a JSON report for each seed. The same seed
  draws the same faults. Logs and settings of the processes stay in the
  directory.

Examples:
  egretdock soak -seed 7
  egretdock soak -seed 100 -seeds 10 -for 1m -processes 12

Exit codes: 0 all invariants held, 1 internal error, 2 wrong usage, 3 invalid
input, 11 an invariant broke.

Flags:
`
}

// SetFlags implements subcommands.Command.
func (s *Soak) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&s.seed, "seed", 1, "first seed")
	f.Uint64Var(&s.seeds, "seeds", 1, "number of seeds, one after the other")
	f.DurationVar(&s.length, "for", 30*time.Second, "duration of fault injection; start and recovery take about 20 s more")
	f.IntVar(&s.processes, "processes", 6, "number of balancer processes, spread over two data centres")
	f.IntVar(&s.clients, "clients", 8, "number of client addresses, with three flows each")
	f.StringVar(&s.dir, "dir", "", "directory for logs and settings; empty creates a temporary one")
}

// Limits of a run. One machine can run a few hundred processes, and client
// addresses differ in one byte.
const maxProcesses, maxClients = 200, 200

// Execute implements subcommands.Command.
func (s *Soak) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		_, _ = fmt.Fprint(s.Err, s.Usage())
		return subcommands.ExitUsageError
	}
	broken := 0
	for i := range s.seeds {
		r, err := s.run(ctx, s.seed+i)
		if err != nil {
			return s.Finish(s.Name(), err)
		}
		s.Print("%s", r.JSON())
		broken += len(r.Broken)
	}
	if broken > 0 {
		return cmdenv.ExitInvariant
	}
	return subcommands.ExitSuccess
}

func (s *Soak) run(ctx context.Context, seed uint64) (soak.Report, error) {
	if s.processes < 1 || s.processes > maxProcesses || s.clients < 1 || s.clients > maxClients {
		return soak.Report{}, fault.New(fault.KindInvalid, "number of processes or clients out of range", fmt.Sprintf("choose 1 to %d processes and 1 to %d clients", maxProcesses, maxClients))
	}
	program, err := os.Executable()
	if err != nil {
		return soak.Report{}, fault.Wrap(err, fault.KindUnavailable, "cannot determine the path of this executable", "run it by its full path")
	}
	dir := s.dir
	if dir == "" {
		dir, err = os.MkdirTemp("", fmt.Sprintf("egretdock-soak-%d-", seed))
	} else {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return soak.Report{}, fault.Wrap(err, fault.KindUnavailable, "cannot create the directory for the logs", "choose another one with -dir")
	}
	_, _ = fmt.Fprintf(s.Err, "soak: seed %d, logs in %s\n", seed, dir)
	return soak.Run(ctx, soak.Options{
		Seed: seed, For: s.length, Processes: s.processes, Clients: s.clients, Program: program, Dir: dir,
	})
}
