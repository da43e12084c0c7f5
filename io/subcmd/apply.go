package subcmd

import (
	"context"
	"flag"
	"fmt"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
	"egretdock/io/store"
)

type apply struct {
	base
	author string
	since  uint64
	edit   string
	remove string
}

func (*apply) Name() string     { return "apply" }
func (*apply) Synopsis() string { return "make the configuration match files" }
func (*apply) Usage() string {
	return `apply [-platform URL] [-author NAME] [-base REVISION] [-edit ID] FILE...
apply [-platform URL] [-author NAME] [-base REVISION] [-edit ID] -delete OBJECT

Edits the objects in the files that differ from the configuration in the
platform, templates first, and prints the revision of each edit. All objects
are checked before the first edit. An object that was edited after -base is
refused, so that nobody's edit is lost; without -base only new objects are
accepted. After a lost answer apply reads back whether the edit took effect;
repeating it with the same -edit never applies an edit twice.

Examples:
  egretdock apply -author ada desk.json
  egretdock apply -author ada -base 57 customers/ann.json
  egretdock apply -author ada -base 57 -delete customer/ann
` + cmdenv.ExitHelp
}

func (c *apply) SetFlags(f *flag.FlagSet) {
	c.platformFlag(f)
	f.StringVar(&c.author, "author", c.User, "who makes the edit")
	f.Uint64Var(&c.since, "base", 0, "the revision that you have seen, as diff and status print it")
	f.StringVar(&c.edit, "edit", "", "the ID of an edit to repeat after its outcome was unknown")
	f.StringVar(&c.remove, "delete", "", "the object to delete, such as customer/ann")
}

func (c *apply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Finish(c.Name(), c.run(ctx, f.Args()))
}

func (c *apply) run(ctx context.Context, paths []string) error {
	switch {
	case (len(paths) == 0) == (c.remove == ""):
		return usage("name files or -delete, and not both")
	case c.author == "":
		return usage("name the author with -author")
	}
	log, repeat := c.log(), c.edit != ""
	if repeat {
		c.edit = trimIndex(c.edit)
	} else {
		c.edit = c.NewID()
	}
	todo, err := c.plan(paths)
	if err != nil {
		return err
	}
	if repeat {
		if todo, err = c.open(ctx, log, todo); err != nil {
			return err
		}
	}
	return c.applyAll(ctx, log, todo)
}

// step is one edit of the command.
type step struct {
	id     string
	object model.Object
	body   rules.Body
	// wanted is nil in a deletion.
	wanted *config.DesiredObject
}

// plan returns the edits that the arguments ask for. The index in the IDs
// keeps the edits of one command apart, and the same when it is repeated.
func (c *apply) plan(paths []string) ([]step, error) {
	if c.remove != "" {
		o, err := parseObject(c.remove)
		return []step{{id: c.edit, object: o, body: &rules.Delete{Object: o}}}, err
	}
	wanted, err := config.ReadFiles(paths)
	if err != nil {
		return nil, err
	}
	out := make([]step, 0, len(wanted))
	for i := range wanted {
		w := &wanted[i]
		out = append(out, step{id: fmt.Sprintf("%s.%d", c.edit, i), object: w.Object(), body: w.Body(), wanted: w})
	}
	return out, nil
}

// open drops the steps that took effect when the command ran before.
func (c *apply) open(ctx context.Context, log *store.Log, todo []step) ([]step, error) {
	var out []step
	for _, s := range todo {
		done, err := c.done(ctx, log, s.id)
		if err != nil {
			return nil, err
		}
		if !done {
			out = append(out, s)
		}
	}
	return out, nil
}

// applyAll checks all edits and then makes them.
func (c *apply) applyAll(ctx context.Context, log *store.Log, todo []step) error {
	t, err := log.Load(ctx)
	if err != nil {
		return err
	}
	acks, err := log.Acks(ctx)
	if err != nil {
		return err
	}
	var changed []step
	var wanted []config.DesiredObject
	for _, s := range todo {
		switch {
		case s.wanted == nil:
			changed = append(changed, s)
		case len(rules.Describe(t.Config.Content(s.object), s.wanted.Content)) == 0:
			c.Print("%s unchanged", s.object)
		default:
			changed, wanted = append(changed, s), append(wanted, *s.wanted)
		}
	}
	if err := rehearse(t.Config, acks, rules.Change{ID: c.edit, Author: c.author, Base: c.since}, wanted); err != nil {
		return err
	}
	for _, s := range changed {
		err := c.accept(ctx, log, rules.Change{ID: s.id, Author: c.author, Base: c.since, Body: s.body})
		if err != nil && s.wanted != nil {
			return s.wanted.WrapError(err)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// done reports whether an edit took effect when it was made before.
func (b *base) done(ctx context.Context, log *store.Log, id string) (bool, error) {
	old, ok, err := log.FindEdit(ctx, id)
	if ok {
		b.Print("%s: edit %s took effect before, at revision %d", old.Object(), id, old.Revision)
	}
	return ok, err
}

// accept makes one edit and prints its revision.
func (b *base) accept(ctx context.Context, log *store.Log, change rules.Change) error {
	a, err := log.Append(ctx, change)
	o := change.Object()
	if fault.KindOf(err) == fault.KindUnknownOutcome {
		return err
	}
	if err != nil {
		return fault.Wrap(err, fault.KindOf(err), o.String()+" was not edited", "")
	}
	if a.Recovered {
		b.Print("%s: an answer of the platform was lost; reading back shows that the edit took effect", o)
	}
	b.Print("%s accepted at revision %d, edit %s", o, a.Change.Revision, change.ID)
	return nil
}

// trimIndex drops the index of an object, so that the ID in an error can be
// given to -edit as it is.
func trimIndex(id string) string {
	for i := len(id) - 1; i > 0; i-- {
		if id[i] == '.' {
			return id[:i]
		}
		if id[i] < '0' || id[i] > '9' {
			break
		}
	}
	return id
}
