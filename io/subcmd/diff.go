package subcmd

import (
	"context"
	"flag"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/core/rules"
	"egretdock/io/config"
)

type diff struct{ platformCommand }

func (*diff) Name() string     { return "diff" }
func (*diff) Synopsis() string { return "show what apply would change" }
func (*diff) Usage() string {
	return `diff [-platform URL] FILE...

Shows the differences between the configuration in the platform and the files,
and the revision to give to apply as -base. Exits with 9 when there are
differences.

Example:
  egretdock diff -platform http://10.0.0.9:7070 customers/ann.json
` + cmdenv.ExitHelp
}

func (c *diff) SetFlags(f *flag.FlagSet) { c.platformFlag(f) }

func (c *diff) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	differs, err := c.run(ctx, f.Args())
	if err == nil && differs {
		return cmdenv.ExitDiffers
	}
	return c.Finish(c.Name(), err)
}

func (c *diff) run(ctx context.Context, paths []string) (differs bool, err error) {
	if len(paths) == 0 {
		return false, usageError("name at least one file")
	}
	desired, err := config.ReadFiles(paths)
	if err != nil {
		return false, err
	}
	t, err := c.log().Load(ctx)
	if err != nil {
		return false, err
	}
	for _, d := range desired {
		o := d.Object()
		lines := rules.Describe(t.Config.Content(o), d.Content)
		if len(lines) == 0 {
			continue
		}
		differs = true
		c.Print("%s (%s)", o, d.Position())
		if e, ok := t.Config.LastEdit(o); ok {
			c.Print("  last edited at revision %d by %s, edit %s", e.Revision, e.Author, e.ID)
		}
		for _, line := range lines {
			c.Print("  %s", line)
		}
	}
	c.Print("compared with revision %d; after review, apply with -base %d", t.Config.Revision, t.Config.Revision)
	return differs, nil
}
