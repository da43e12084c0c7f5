// Package subcmd holds the command line, one file for each command.
//
// Exit codes: 0 done; 1 internal error; 2 wrong usage; 3 invalid input; 4
// conflict with another edit; 5 quarantined; 6 platform not available, nothing
// was done; 7 outcome unknown; 8 no such object; 9 differences found (diff).
package subcmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/io/store"
)

// Exit codes beyond those of package subcommands.
const (
	ExitInvalid        subcommands.ExitStatus = 3
	ExitConflict       subcommands.ExitStatus = 4
	ExitQuarantined    subcommands.ExitStatus = 5
	ExitUnavailable    subcommands.ExitStatus = 6
	ExitUnknownOutcome subcommands.ExitStatus = 7
	ExitNotFound       subcommands.ExitStatus = 8
	ExitDiffers        subcommands.ExitStatus = 9
)

const exitHelp = `
Exit codes: 0 done, 1 internal error, 2 wrong usage, 3 invalid input,
4 conflict, 5 quarantined, 6 platform not available, 7 outcome unknown,
8 no such object, 9 differences found.

Flags:
`

func exitOf(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	switch fault.KindOf(err) {
	case fault.KindInvalid:
		return ExitInvalid
	case fault.KindConflict:
		return ExitConflict
	case fault.KindQuarantined:
		return ExitQuarantined
	case fault.KindUnavailable:
		return ExitUnavailable
	case fault.KindUnknownOutcome:
		return ExitUnknownOutcome
	case fault.KindNotFound:
		return ExitNotFound
	default:
		return subcommands.ExitFailure
	}
}

// Env is what all commands share. It is built once.
type Env struct {
	Out, Err io.Writer
	// User is the default author of edits.
	User string
	// NewID returns the ID of a new edit.
	NewID func() string
}

// DefaultEnv returns the environment of the process.
func DefaultEnv() Env {
	return Env{Out: os.Stdout, Err: os.Stderr, User: os.Getenv("USER"), NewID: func() string {
		var b [8]byte
		_, _ = rand.Read(b[:])
		return hex.EncodeToString(b[:])
	}}
}

// Register adds all commands.
func Register(cdr *subcommands.Commander, e Env) {
	for _, c := range []subcommands.Command{
		&check{base: base{Env: e}}, &diff{base: base{Env: e}}, &apply{base: base{Env: e}},
		&backout{base: base{Env: e}}, &status{base: base{Env: e}}, &platform{Env: e},
	} {
		cdr.Register(c, "configuration")
	}
	cdr.Register(&serve{Env: e}, "run")
	cdr.Register(&Timeline{Out: e.Out, Err: e.Err}, "observe")
}

// Main runs one command and returns its exit code.
func Main(ctx context.Context, args []string, e Env) int {
	if n := len(args); n == 2 && (args[1] == "-h" || args[1] == "--help" || args[1] == "-help") {
		args = []string{"help", args[0]}
	}
	flags := flag.NewFlagSet("egretdock", flag.ContinueOnError)
	flags.SetOutput(e.Err)
	cdr := subcommands.NewCommander(flags, "egretdock")
	cdr.Output, cdr.Error = e.Out, e.Err
	cdr.Register(cdr.HelpCommand(), "")
	Register(cdr, e)
	RegisterTools(cdr, e)
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(cdr.Execute(ctx))
}

// base is shared by commands that call the platform.
type base struct {
	Env
	platform string
}

func (b *base) platformFlag(f *flag.FlagSet) {
	f.StringVar(&b.platform, "platform", "http://127.0.0.1:7070", "base URLs of the platform, separated by commas")
}

func (b *base) log() *store.Log {
	return store.NewLog(store.NewClient(store.Options{Bases: strings.Split(b.platform, ","), Name: "operator"}))
}

// finish reports the error and returns its exit code.
func (e Env) finish(name string, err error) subcommands.ExitStatus {
	if err != nil {
		_, _ = fmt.Fprintf(e.Err, "egretdock %s: %v\n", name, err)
	}
	return exitOf(err)
}

func (e Env) print(format string, args ...any) { _, _ = fmt.Fprintf(e.Out, format+"\n", args...) }

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
