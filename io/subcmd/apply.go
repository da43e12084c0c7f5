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
	platformCommand
	author         string
	baseRevision   uint64
	editID         string
	objectToDelete string
}

func (*apply) Name() string     { return "apply" }
func (*apply) Synopsis() string { return "make the configuration match files" }
func (*apply) Usage() string {
	return `apply [-platform URL] [-author NAME] [-base REVISION] [-edit ID] FILE...
apply [-platform URL] [-author NAME] [-base REVISION] [-edit ID] -delete OBJECT

Edits the objects in the files that differ from the configuration in the
platform, templates first, and prints the revision of each edit. All objects
are checked before the first edit. An object that was edited after -base is
refused, so that no edit is lost; without -base only new objects are accepted.
When an answer of the platform is lost, apply reads back whether the edit took
effect. Repeating a command with its -edit ID never applies an edit twice.

Examples:
  egretdock apply -author ada desk.json
  egretdock apply -author ada -base 57 customers/ann.json
  egretdock apply -author ada -base 57 -delete customer/ann
` + cmdenv.ExitHelp
}

func (c *apply) SetFlags(f *flag.FlagSet) {
	c.platformFlag(f)
	f.StringVar(&c.author, "author", c.User, "the author of the edit")
	f.Uint64Var(&c.baseRevision, "base", 0, "the revision that you have seen, as diff and status print it")
	f.StringVar(&c.editID, "edit", "", "the ID of an edit to repeat after its outcome was unknown")
	f.StringVar(&c.objectToDelete, "delete", "", "the object to delete, such as customer/ann")
}

func (c *apply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Finish(c.Name(), c.run(ctx, f.Args()))
}

func (c *apply) run(ctx context.Context, paths []string) error {
	switch {
	case (len(paths) == 0) == (c.objectToDelete == ""):
		return usageError("name files or -delete, and not both")
	case c.author == "":
		return usageError("name the author with -author")
	}
	log, repeat := c.log(), c.editID != ""
	if repeat {
		c.editID = trimIndex(c.editID)
	} else {
		c.editID = c.NewID()
	}
	edits, err := c.plan(paths)
	if err != nil {
		return err
	}
	if repeat {
		if edits, err = c.pending(ctx, log, edits); err != nil {
			return err
		}
	}
	return c.applyAll(ctx, log, edits)
}

// plannedEdit is one edit that the command makes.
type plannedEdit struct {
	id     string
	object model.Object
	body   rules.Body
	// desired is nil for a deletion.
	desired *config.DesiredObject
}

// plan returns the edits that the arguments ask for. The index in their IDs
// makes the IDs unique within a command, and equal when it is repeated.
func (c *apply) plan(paths []string) ([]plannedEdit, error) {
	if c.objectToDelete != "" {
		o, err := parseObject(c.objectToDelete)
		return []plannedEdit{{id: c.editID, object: o, body: &rules.Delete{Object: o}}}, err
	}
	desired, err := config.ReadFiles(paths)
	if err != nil {
		return nil, err
	}
	out := make([]plannedEdit, 0, len(desired))
	for i := range desired {
		d := &desired[i]
		out = append(out, plannedEdit{id: fmt.Sprintf("%s.%d", c.editID, i), object: d.Object(), body: d.Body(), desired: d})
	}
	return out, nil
}

// pending returns the edits that did not take effect when the command ran
// before.
func (c *apply) pending(ctx context.Context, log *store.Log, edits []plannedEdit) ([]plannedEdit, error) {
	var out []plannedEdit
	for _, e := range edits {
		done, err := c.tookEffect(ctx, log, e.id)
		if err != nil {
			return nil, err
		}
		if !done {
			out = append(out, e)
		}
	}
	return out, nil
}

// applyAll checks all edits and then makes them.
func (c *apply) applyAll(ctx context.Context, log *store.Log, edits []plannedEdit) error {
	t, err := log.Load(ctx)
	if err != nil {
		return err
	}
	acks, err := log.Acks(ctx)
	if err != nil {
		return err
	}
	var changed []plannedEdit
	var desired []config.DesiredObject
	for _, e := range edits {
		switch {
		case e.desired == nil:
			changed = append(changed, e)
		case len(rules.Describe(t.Config.Content(e.object), e.desired.Content)) == 0:
			c.Print("%s unchanged", e.object)
		default:
			changed, desired = append(changed, e), append(desired, *e.desired)
		}
	}
	if err := checkEdits(t.Config, acks, rules.Change{ID: c.editID, Author: c.author, Base: c.baseRevision}, desired); err != nil {
		return err
	}
	for _, e := range changed {
		err := c.appendEdit(ctx, log, rules.Change{ID: e.id, Author: c.author, Base: c.baseRevision, Body: e.body})
		if err != nil && e.desired != nil {
			return e.desired.WrapError(err)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// tookEffect reports whether the edit with this ID is already in the log, and
// prints its revision if so.
func (c *platformCommand) tookEffect(ctx context.Context, log *store.Log, id string) (bool, error) {
	old, ok, err := log.FindEdit(ctx, id)
	if ok {
		c.Print("%s: edit %s took effect before, at revision %d", old.Object(), id, old.Revision)
	}
	return ok, err
}

// appendEdit appends one edit to the log and prints its revision.
func (c *platformCommand) appendEdit(ctx context.Context, log *store.Log, change rules.Change) error {
	a, err := log.Append(ctx, change)
	o := change.Object()
	if fault.KindOf(err) == fault.KindUnknownOutcome {
		return err
	}
	if err != nil {
		return fault.Wrap(err, fault.KindOf(err), o.String()+" was not edited", "")
	}
	if a.Recovered {
		c.Print("%s: an answer of the platform was lost; reading back shows that the edit took effect", o)
	}
	c.Print("%s accepted at revision %d, edit %s", o, a.Change.Revision, change.ID)
	return nil
}

// trimIndex removes the index that plan adds, so that an ID copied from an error
// message can be given to -edit.
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
