package subcmd

import (
	"context"
	"flag"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
)

type check struct {
	platformCommand
	settings bool
	online   bool
}

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "check files without changing anything" }
func (*check) Usage() string {
	return `check [-online] [-platform URL] FILE...
check -settings FILE...

Checks files of templates and customers, or settings files. The files are
checked as if they were the whole configuration; with -online they are checked
against the configuration in the platform and its quarantine.

Examples:
  egretdock check desk.json customers/*.json
  egretdock check -online -platform http://10.0.0.9:7070 customers/ann.json
  egretdock check -settings /etc/egretdock/b1.json
` + cmdenv.ExitHelp
}

func (c *check) SetFlags(f *flag.FlagSet) {
	c.platformFlag(f)
	f.BoolVar(&c.settings, "settings", false, "check settings files")
	f.BoolVar(&c.online, "online", false, "check against the configuration in the platform")
}

func (c *check) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Finish(c.Name(), c.run(ctx, f.Args()))
}

func (c *check) run(ctx context.Context, paths []string) error {
	switch {
	case len(paths) == 0:
		return usageError("name at least one file")
	case c.settings:
		for _, p := range paths {
			if _, err := config.ReadSettings(p); err != nil {
				return err
			}
			c.Print("%s: settings are valid", p)
		}
		return nil
	}
	desired, err := config.ReadFiles(paths)
	if err != nil {
		return err
	}
	var cfg model.Config
	var acks rules.Acks
	if c.online {
		t, err := c.log().Load(ctx)
		if err != nil {
			return err
		}
		cfg = t.Config
		if acks, err = c.log().Acks(ctx); err != nil {
			return err
		}
	}
	if err := checkEdits(cfg, acks, rules.Change{ID: "in check", Author: c.User, Base: cfg.Revision}, desired); err != nil {
		return err
	}
	c.Print("%d objects are valid", len(desired))
	return nil
}

// checkEdits checks edits that give the objects the desired content, one after
// another and without writing them. shared holds all their fields but the body.
func checkEdits(cfg model.Config, acks rules.Acks, shared rules.Change, desired []config.DesiredObject) error {
	for _, d := range desired {
		shared.Body = d.Body()
		_, next, err := rules.Accept(cfg, shared, acks)
		if err != nil {
			return d.WrapError(err)
		}
		cfg = next
	}
	return nil
}
