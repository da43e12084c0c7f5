package subcmd

import (
	"context"
	"flag"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
	"egretdock/io/store"
)

type status struct {
	platformCommand
	logEntries   uint64
	objectToShow string
}

func (*status) Name() string { return "status" }
func (*status) Synopsis() string {
	return "show the configuration and which balancers have confirmed it"
}

func (*status) Usage() string {
	return `status [-platform URL] [-log N]
status [-platform URL] -show OBJECT

Shows the revision in the platform, what each data centre has confirmed, which
balancers lag, and what is in quarantine. With -show it prints an object as a
file that can be edited and applied.

Examples:
  egretdock status -log 20
  egretdock status -show customer/ann > ann.json
` + cmdenv.ExitHelp
}

func (c *status) SetFlags(f *flag.FlagSet) {
	c.platformFlag(f)
	f.Uint64Var(&c.logEntries, "log", 0, "the number of recent edits to show")
	f.StringVar(&c.objectToShow, "show", "", "the object to print, such as customer/ann")
}

func (c *status) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Finish(c.Name(), c.run(ctx))
}

func (c *status) run(ctx context.Context) error {
	log := c.log()
	t, err := log.Load(ctx)
	if err != nil {
		return err
	}
	if c.objectToShow != "" {
		return c.printObject(t.Config)
	}
	c.Print("revision %d: %d templates, %d customers", t.Config.Revision, len(t.Config.TemplateNames()), len(t.Config.CustomerNames()))
	if err := c.printBalancers(ctx, log, t.Config); err != nil {
		return err
	}
	return c.printLog(ctx, log, t.Config.Revision)
}

func (c *status) printObject(cfg model.Config) error {
	o, err := parseObject(c.objectToShow)
	if err != nil {
		return err
	}
	v := cfg.Content(o)
	if v == nil {
		return fault.New(fault.KindNotFound, o.String()+" does not exist", "run egretdock status to see the objects")
	}
	b, err := config.FormatFile(v)
	if err != nil {
		return err
	}
	c.Print("// %s as of revision %d; apply with -base %d\n%s", o, cfg.Revision, cfg.Revision, strings.TrimRight(string(b), "\n"))
	return nil
}

func (c *status) printBalancers(ctx context.Context, log *store.Log, cfg model.Config) error {
	statuses, err := log.Statuses(ctx)
	if err != nil {
		return err
	}
	for _, dc := range slices.Sorted(maps.Keys(statuses)) {
		s := statuses[dc]
		c.Print("data centre %s: relay %s, all balancers at revision %d or later", dc, s.Relay, s.LowestRevision)
	}
	acks, err := log.Acks(ctx)
	if err != nil {
		return err
	}
	for _, name := range acks.Lagging(cfg.Revision) {
		c.Print("lagging: %s", name)
	}
	released := cfg.Releases()
	for _, a := range slices.SortedFunc(maps.Keys(released), netip.AddrPort.Compare) {
		r := released[a]
		if lag := acks.Lagging(r.Revision); len(lag) > 0 {
			c.Print("quarantine: %s released by %s at revision %d, not confirmed by %d balancers", a, r.Holder, r.Revision, len(lag))
		}
	}
	return nil
}

func (c *status) printLog(ctx context.Context, log *store.Log, end uint64) error {
	for rev := end - min(c.logEntries, end) + 1; rev <= end; rev++ {
		change, err := log.Change(ctx, rev)
		if fault.KindOf(err) == fault.KindNotFound {
			continue
		}
		if err != nil {
			return err
		}
		c.Print("revision %d: %s of %s by %s, edit %s%s", rev, change.Kind(), change.Object(), change.Author, change.ID, undoSuffix(change))
	}
	return nil
}

func undoSuffix(c rules.Change) string {
	if b, ok := c.Body.(*rules.BackOut); ok {
		return ", undoes revision " + strconv.FormatUint(b.Undo, 10)
	}
	return ""
}
