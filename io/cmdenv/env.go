// Package cmdenv holds what all commands share: the environment, the exit codes
// and the reporting of errors.
//
// Exit codes: 0 done; 1 internal error; 2 wrong usage; 3 invalid input; 4
// conflict with another edit; 5 quarantined; 6 platform not available, nothing
// was done; 7 outcome unknown; 8 no such object; 9 differences found (diff); 10
// not run (call); 11 an invariant was violated (load, demo).
package cmdenv

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"egretdock/core/fault"
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
	// ExitNotRun means that the work was refused and did not run.
	ExitNotRun subcommands.ExitStatus = 10
	// ExitInvariant means that a run finished and violated an invariant.
	ExitInvariant subcommands.ExitStatus = 11
)

// ExitHelp is the last part of the usage text of a command, before its flags.
const ExitHelp = `
Exit codes: 0 done, 1 internal error, 2 wrong usage, 3 invalid input,
4 conflict, 5 quarantined, 6 platform not available, 7 outcome unknown,
8 no such object, 9 differences found, 10 refused and not run, 11 an invariant
broke.

Flags:
`

// ExitCode returns the exit code for an error.
func ExitCode(err error) subcommands.ExitStatus {
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

// Env holds the output streams and the defaults that all commands share.
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

// Finish prints the error of a command, if any, and returns its exit code.
func (e Env) Finish(name string, err error) subcommands.ExitStatus {
	if err != nil {
		_, _ = fmt.Fprintf(e.Err, "egretdock %s: %v\n", name, err)
	}
	return ExitCode(err)
}

// Print writes a formatted line to Out.
func (e Env) Print(format string, args ...any) { _, _ = fmt.Fprintf(e.Out, format+"\n", args...) }
