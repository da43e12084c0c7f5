package trial

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"time"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/io/emul/cases"
	"egretdock/io/emul/fabric"
	"egretdock/io/emul/load"
	"egretdock/io/emul/script"
)

// Load runs a scenario on an example deployment in this process, once for each
// policy.
type Load struct {
	cmdenv.Env
	example, scenario, policies string
	seed                        uint64
	length, delay               time.Duration
	times, drop                 float64
	noToken                     bool
	jsonFile                    string
	timelineFile                string
	events                      eventOutput
}

// Name implements subcommands.Command.
func (*Load) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*Load) Synopsis() string { return "run a scenario under load and report measures and invariants" }

// Usage implements subcommands.Command.
func (*Load) Usage() string {
	return `load [-example casablanca|lagos] [-scenario NAME] [-policy P1,P2] [-seed N] [-for 20s] [-json FILE] [-v]

Runs balancers, stand-in upstreams and clients in this process on loopback, and
reports the measures and a verdict on each invariant. With several policies,
each runs the same arrivals, and the ratios to the first are printed.
Scenarios: ` + strings.Join(script.Scenarios(), ", ") + `.
Policies: ` + strings.Join(load.Policies(), ", ") + `.

Exit codes: 0 all invariants held; 1 the run failed; 2 wrong usage; 3 invalid
argument; 8 no such example, scenario or policy; 11 an invariant broke under the
first policy.

`
}

// SetFlags implements subcommands.Command.
func (l *Load) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.example, "example", "casablanca", "example deployment")
	f.StringVar(&l.scenario, "scenario", "steady", "what is done to the deployment")
	f.StringVar(&l.policies, "policy", "egretdock", "policies to run, separated by commas")
	f.Uint64Var(&l.seed, "seed", 1, "seed of arrivals, upstreams and network faults")
	f.DurationVar(&l.length, "for", 20*time.Second, "length of the load, at least 10s")
	f.Float64Var(&l.times, "times", script.FloodFactor, "rate of floods over the capacity of their upstreams")
	f.DurationVar(&l.delay, "delay", 0, "one-way delay between clients and balancers; the examples state 3ms and 1ms")
	f.Float64Var(&l.drop, "drop", 0, "share of datagrams lost between clients and balancers, 0 to 1")
	f.BoolVar(&l.noToken, "no-token", false, "clients echo no route token")
	f.StringVar(&l.jsonFile, "json", "", "file for the reports as JSON, one object for each policy")
	f.StringVar(&l.timelineFile, "timeline", "", "file for the events of the run; empty writes none")
	l.events.setFlags(f)
}

// Execute implements subcommands.Command.
func (l *Load) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		_, _ = fmt.Fprintf(l.Err, "egretdock load: unexpected argument %q; all options are flags\n", f.Arg(0))
		return subcommands.ExitUsageError
	}
	cfgs, err := l.configs()
	if err != nil {
		return l.Finish(l.Name(), err)
	}
	timeline, closeTimeline, err := createFile(l.timelineFile)
	if err != nil {
		return l.Finish(l.Name(), err)
	}
	defer closeTimeline()
	reportFile, closeReports, err := createFile(l.jsonFile)
	if err != nil {
		return l.Finish(l.Name(), err)
	}
	defer closeReports()
	if err := l.events.open(l.Name()); err != nil {
		return l.Finish(l.Name(), err)
	}
	defer l.events.close()
	var reports []load.Report
	for _, cfg := range cfgs {
		cfg.Timeline = timeline
		cfg.Progress = func(d time.Duration) {
			_, _ = fmt.Fprintf(l.Err, "%s %s: %s of %s\n", cfg.Script.Name, cfg.Policy, d.Round(time.Second), l.length)
		}
		history, err := load.Run(ctx, cfg)
		if err != nil {
			return l.Finish(l.Name(), err)
		}
		r := load.Summarize(cfg, history)
		printReport(l.Out, r)
		if reportFile != nil {
			enc := json.NewEncoder(reportFile)
			enc.SetIndent("", "  ")
			if err := enc.Encode(r); err != nil {
				return l.Finish(l.Name(), err)
			}
		}
		reports = append(reports, r)
	}
	_, _ = fmt.Fprintf(l.Err, "events of the balancers: %s\n", l.events.destination())
	for _, r := range reports[1:] {
		printRatios(l.Err, reports[0], r)
	}
	if reports[0].HasFailedInvariant() {
		return cmdenv.ExitInvariant
	}
	return subcommands.ExitSuccess
}

func (l *Load) configs() ([]load.Config, error) {
	c, err := cases.Find(l.example)
	if err != nil {
		return nil, err
	}
	script, err := script.Scenario(l.scenario, c, l.length)
	if err != nil {
		return nil, err
	}
	cfg := load.Config{Example: c, Script: script.WithFloodFactor(l.times), Seed: l.seed, NoToken: l.noToken}
	if l.delay > 0 {
		cfg.Faults = append(cfg.Faults, fabric.Delay{Base: l.delay})
	}
	if l.drop > 0 {
		cfg.Faults = append(cfg.Faults, fabric.Drop{Share: l.drop})
	}
	var out []load.Config
	for _, name := range strings.Split(l.policies, ",") {
		p, err := load.ParsePolicy(name)
		if err != nil {
			return nil, err
		}
		cfg.Policy = p
		out = append(out, cfg)
	}
	return out, nil
}
