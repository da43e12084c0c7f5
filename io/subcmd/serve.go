package subcmd

import (
	"context"
	"flag"
	"fmt"
	"time"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/io/config"
	"egretdock/io/daemon"
	"egretdock/io/store"
)

// serve runs one balancer.
type serve struct {
	cmdenv.Env
	settingsPath string
	register     bool
}

// Name implements subcommands.Command.
func (*serve) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serve) Synopsis() string { return "run one balancer" }

// Usage implements subcommands.Command.
func (*serve) Usage() string {
	return `serve -settings FILE [-register]:
  Run one balancer until it gets SIGTERM or SIGINT, then leave gracefully: the
  balancer announces that it leaves, finishes what is in progress (at most
  30 s) and exits.

Examples:
  egretdock serve -settings /etc/egretdock/settings.json
  egretdock serve -settings settings.json -register   # with the stand-in platform
` + cmdenv.ExitHelp
}

// SetFlags implements subcommands.Command.
func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settingsPath, "settings", "", "settings file, JSON with comments (see docs/settings.md)")
	f.BoolVar(&s.register, "register", false, "add the host to the host list, which a real platform does by itself")
}

// Execute implements subcommands.Command.
func (s *serve) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.settingsPath == "" || f.NArg() > 0 {
		_, _ = fmt.Fprint(s.Err, s.Usage())
		return subcommands.ExitUsageError
	}
	return s.Finish(s.Name(), s.run(ctx))
}

func (s *serve) run(ctx context.Context) error {
	settings, err := config.ReadSettings(s.settingsPath)
	if err != nil {
		return err
	}
	app, err := daemon.NewApp(settings, daemon.AppOptions{})
	if err != nil {
		return err
	}
	if s.register {
		if err := registerHost(ctx, settings, app); err != nil {
			return err
		}
	}
	return app.Run(ctx)
}

// registerTimeout bounds the write of the host list entry.
const registerTimeout = 10 * time.Second

// registerHost writes the host list entry, which a real platform maintains.
func registerHost(ctx context.Context, settings config.Settings, app *daemon.App) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	self := app.Daemon().Self()
	h := store.Host{Name: self.Name, DataCentre: self.DataCentre, PeerAddr: self.Peer, FetchAddr: self.Fetch}
	c := store.NewClient(store.Options{BaseURLs: settings.Platform, Name: settings.Name})
	if err := store.PutHost(ctx, c, h); err != nil {
		return fault.Wrap(err, fault.KindUnavailable, "cannot write the host list entry", "start the stand-in platform first")
	}
	return nil
}
