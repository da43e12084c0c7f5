// Package subcmd implements the egretdock command line. Each command has a file
// of its own; package trial holds the commands for trials.
package subcmd

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/io/cmdenv"
	"egretdock/io/store"
	"egretdock/io/trial"
)

// Register adds the commands of this package.
func Register(cdr *subcommands.Commander, e cmdenv.Env) {
	for _, c := range []subcommands.Command{
		&check{platformCommand: platformCommand{Env: e}}, &diff{platformCommand: platformCommand{Env: e}}, &apply{platformCommand: platformCommand{Env: e}},
		&backout{platformCommand: platformCommand{Env: e}}, &status{platformCommand: platformCommand{Env: e}}, &platform{Env: e},
	} {
		cdr.Register(c, "configuration")
	}
	cdr.Register(&serve{Env: e}, "run")
	cdr.Register(&direct{Env: e}, "run")
	cdr.Register(&Timeline{Out: e.Out, Err: e.Err}, "observe")
}

// Main parses args, runs one command and returns its exit code.
func Main(ctx context.Context, args []string, e cmdenv.Env) int {
	if n := len(args); n == 2 && (args[1] == "-h" || args[1] == "--help" || args[1] == "-help") {
		args = []string{"help", args[0]}
	}
	flags := flag.NewFlagSet("egretdock", flag.ContinueOnError)
	flags.SetOutput(e.Err)
	cdr := subcommands.NewCommander(flags, "egretdock")
	cdr.Output, cdr.Error = e.Out, e.Err
	cdr.Register(cdr.HelpCommand(), "")
	Register(cdr, e)
	trial.Register(cdr, e)
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(cdr.Execute(ctx))
}

// platformCommand holds what the commands that call the platform share.
type platformCommand struct {
	cmdenv.Env
	platformURLs string
}

func (c *platformCommand) platformFlag(f *flag.FlagSet) {
	f.StringVar(&c.platformURLs, "platform", "http://127.0.0.1:7070", "base URLs of the platform, separated by commas")
}

func (c *platformCommand) log() *store.Log {
	return store.NewLog(store.NewClient(store.Options{BaseURLs: strings.Split(c.platformURLs, ","), Name: "operator"}))
}

func usageError(remedy string) error {
	return fault.New(fault.KindInvalid, "invalid arguments", remedy)
}

// parseObject parses "template/NAME" or "customer/NAME".
func parseObject(s string) (model.Object, error) {
	kind, name, _ := strings.Cut(s, "/")
	k, ok := model.ParseObjectKind(kind)
	if !ok || name == "" {
		return model.Object{}, fault.New(fault.KindInvalid, fmt.Sprintf("%q is not an object", s), "write template/NAME or customer/NAME")
	}
	return model.Object{Kind: k, Name: name}, nil
}
