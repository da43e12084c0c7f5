package subcmd

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/store"
)

type backout struct {
	platformCommand
	author string
	editID string
}

func (*backout) Name() string     { return "backout" }
func (*backout) Synopsis() string { return "undo an edit" }
func (*backout) Usage() string {
	return `backout [-platform URL] [-author NAME] [-edit ID] REVISION

Restores what an object held before the edit at REVISION, as a new revision.
Refused when a later edit touched the same object.

Example:
  egretdock backout -author ada 58
` + cmdenv.ExitHelp
}

func (c *backout) SetFlags(f *flag.FlagSet) {
	c.platformFlag(f)
	f.StringVar(&c.author, "author", c.User, "the author of the edit")
	f.StringVar(&c.editID, "edit", "", "the ID of an edit to repeat after its outcome was unknown")
}

func (c *backout) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Finish(c.Name(), c.run(ctx, f.Args()))
}

func (c *backout) run(ctx context.Context, args []string) error {
	if len(args) != 1 || c.author == "" {
		return usageError("name one revision and the author")
	}
	rev, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return usageError("name the revision as a number, as status -log prints it")
	}
	log := c.log()
	if c.editID == "" {
		c.editID = c.NewID()
	} else if done, err := c.tookEffect(ctx, log, c.editID); done || err != nil {
		return err
	}
	o, err := objectEditedAt(ctx, log, rev)
	if err != nil {
		return err
	}
	return c.appendEdit(ctx, log, rules.Change{ID: c.editID, Author: c.author, Body: &rules.BackOut{Undo: rev, Object: o}})
}

// objectEditedAt returns the object that was edited at a revision.
func objectEditedAt(ctx context.Context, log *store.Log, rev uint64) (model.Object, error) {
	t, err := log.Load(ctx)
	if err != nil {
		return model.Object{}, err
	}
	for _, e := range t.Config.LastEdits() {
		if e.Revision == rev {
			return e.Object, nil
		}
	}
	change, err := log.Change(ctx, rev)
	if fault.KindOf(err) == fault.KindNotFound {
		return model.Object{}, fault.New(fault.KindNotFound, fmt.Sprintf("revision %d is not in the log", rev), "run egretdock status -log 20 to see recent edits")
	}
	return change.Object(), err
}
