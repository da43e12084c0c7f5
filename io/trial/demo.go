package trial

import (
	"context"
	"flag"
	"os"
	"time"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/io/emul/cases"
	"egretdock/io/emul/load"
	"egretdock/io/emul/script"
)

// Demo runs a short scenario on an example deployment in less than 30 s.
type Demo struct {
	cmdenv.Env
	example string
	seed    uint64
	events  eventOutput
}

// demoLength leaves room for the imbalance window of 10 s before the flood, and
// keeps the whole demo, with start and shutdown, under 30 s.
const demoLength = 20 * time.Second

// Name implements subcommands.Command.
func (*Demo) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Demo) Synopsis() string { return "run a short tour of an example deployment" }

// Usage implements subcommands.Command.
func (*Demo) Usage() string {
	return `demo [-example casablanca|lagos] [-seed N] [-v]

Starts the deployment in this process, applies an edit, drains an upstream,
kills and replaces a balancer, retires another, floods the most urgent class,
and prints the measures and the invariants. It needs no setup and takes less
than 30 seconds.

Exit codes: 0 all invariants held; 1 the run failed; 2 wrong usage; 8 no such
example; 11 an invariant broke.

`
}

// SetFlags implements subcommands.Command.
func (d *Demo) SetFlags(f *flag.FlagSet) {
	f.StringVar(&d.example, "example", "casablanca", "example deployment")
	f.Uint64Var(&d.seed, "seed", 1, "seed of arrivals and upstreams")
	d.events.setFlags(f)
}

// Execute implements subcommands.Command.
func (d *Demo) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c, err := cases.Find(d.example)
	if err != nil {
		return d.Finish(d.Name(), err)
	}
	script, err := script.Scenario("demo", c, demoLength)
	if err != nil {
		return d.Finish(d.Name(), err)
	}
	timeline, err := os.CreateTemp("", "egretdock-demo-*.log")
	if err != nil {
		err = fault.Wrap(err, fault.KindUnavailable, "cannot write the time line", "set TMPDIR to a writable directory")
		return d.Finish(d.Name(), err)
	}
	defer func() { _ = timeline.Close() }()
	if err := d.events.open(d.Name()); err != nil {
		return d.Finish(d.Name(), err)
	}
	defer d.events.close()
	d.printOverview(c, script)
	cfg := load.Config{Example: c, Script: script, Policy: load.Egretdock{}, Seed: d.seed, Timeline: timeline, Progress: func(t time.Duration) {
		d.Print("  %s of %s", t.Round(time.Second), script.Length)
	}}
	history, err := load.Run(ctx, cfg)
	if err != nil {
		return d.Finish(d.Name(), err)
	}
	report := load.Summarize(cfg, history)
	printReport(d.Out, report)
	d.Print("time line: %s", timeline.Name())
	d.Print("events of the balancers: %s", d.events.destination())
	if report.HasFailedInvariant() {
		return cmdenv.ExitInvariant
	}
	return subcommands.ExitSuccess
}

func (d *Demo) printOverview(c cases.Example, s script.Script) {
	d.Print("%s: %d balancers in %d data centres, %d customers", c.Name, c.BalancerCount, len(c.DataCentres), len(c.Customers))
	for _, sv := range c.Services {
		d.Print("  service %s: %d upstreams with %d slots", sv.Template.Name, sv.UpstreamCount, sv.Slots)
	}
	for _, t := range s.Steps {
		d.Print("  at %4.1f s: %T %+v", t.At.Seconds(), t.Step, t.Step)
	}
	for _, f := range s.Floods {
		d.Print("  from %.1f s to %.1f s: flood of %s at %.0f times its capacity", f.From.Seconds(), f.To.Seconds(), f.Class, f.Factor)
	}
}
