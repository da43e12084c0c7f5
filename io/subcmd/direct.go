package subcmd

import (
	"context"
	"flag"
	"fmt"
	"math"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/io/cmdenv"
	"egretdock/io/front"
)

// direct runs one balancer of opaque flows with the platform's settings file.
type direct struct {
	cmdenv.Env
	settingsPath string
	metricsPort  uint
}

// Name implements subcommands.Command.
func (*direct) Name() string { return "direct" }

// Synopsis implements subcommands.Command.
func (*direct) Synopsis() string {
	return "run one balancer for upstreams that answer clients directly"
}

// Usage implements subcommands.Command.
func (*direct) Usage() string {
	return `direct [-settings FILE] [-metrics PORT]:
  Run one balancer of opaque flows with the platform's settings file, until it
  gets SIGTERM or SIGINT: it then reports that it is not ready, forwards until
  routers have taken it out of rotation, and exits. SIGHUP reloads the settings.

Examples:
  egretdock direct                       # settings file named by ` + front.SettingsVariable + `
  egretdock direct -settings boot.toml -metrics 9464
` + cmdenv.ExitHelp
}

// SetFlags implements subcommands.Command.
func (d *direct) SetFlags(f *flag.FlagSet) {
	f.StringVar(&d.settingsPath, "settings", "", "settings file, TOML (default: the one that "+front.SettingsVariable+" names)")
	f.UintVar(&d.metricsPort, "metrics", 0, "port that serves metrics as text; 0 serves none")
}

// Execute implements subcommands.Command.
func (d *direct) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		_, _ = fmt.Fprint(d.Err, d.Usage())
		return subcommands.ExitUsageError
	}
	return d.Finish(d.Name(), d.run(ctx))
}

func (d *direct) run(ctx context.Context) error {
	if d.metricsPort > math.MaxUint16 {
		return fault.New(fault.KindInvalid, fmt.Sprintf("-metrics %d is not a port", d.metricsPort), "choose a port up to 65535")
	}
	app, err := front.NewApp(front.Options{SettingsPath: d.settingsPath, MetricsPort: uint16(d.metricsPort)})
	if err != nil {
		return err
	}
	return app.Run(ctx)
}
