// Package subcmd implements the command line, one file for each subcommand.
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

// Register adds all commands.
func Register(cdr *subcommands.Commander, e cmdenv.Env) {
	for _, c := range []subcommands.Command{
		&check{base: base{Env: e}}, &diff{base: base{Env: e}}, &apply{base: base{Env: e}},
		&backout{base: base{Env: e}}, &status{base: base{Env: e}}, &platform{Env: e},
	} {
		cdr.Register(c, "configuration")
	}
	cdr.Register(&serve{Env: e}, "run")
	cdr.Register(&direct{Env: e}, "run")
	cdr.Register(&Timeline{Out: e.Out, Err: e.Err}, "observe")
}

// Main runs one command and returns its exit code.
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

// base is shared by commands that call the platform.
type base struct {
	cmdenv.Env
	platform string
}

func (b *base) platformFlag(f *flag.FlagSet) {
	f.StringVar(&b.platform, "platform", "http://127.0.0.1:7070", "base URLs of the platform, separated by commas")
}

func (b *base) log() *store.Log {
	return store.NewLog(store.NewClient(store.Options{BaseURLs: strings.Split(b.platform, ","), Name: "operator"}))
}

func usage(remedy string) error { return fault.New(fault.KindInvalid, "arguments are missing", remedy) }

// parseObject reads "template/name" or "customer/name".
func parseObject(s string) (model.Object, error) {
	kind, name, _ := strings.Cut(s, "/")
	k, ok := model.ParseObjectKind(kind)
	if !ok || name == "" {
		return model.Object{}, fault.New(fault.KindInvalid, fmt.Sprintf("%q names no object", s), "write template/NAME or customer/NAME")
	}
	return model.Object{Kind: k, Name: name}, nil
}
