package trial

import (
	"flag"
	"os"

	"egretdock/core/fault"
	"egretdock/io/logs"
)

// eventOutput selects where the balancers of a trial write their events: a file,
// which keeps the progress lines and the report readable, or standard error.
type eventOutput struct {
	verbose bool
	file    *os.File
}

func (e *eventOutput) setFlags(f *flag.FlagSet) {
	f.BoolVar(&e.verbose, "v", false, "write the balancers' events to standard error and not to a file")
}

// open directs the events of this process to a new temporary file, unless -v
// selects standard error.
func (e *eventOutput) open(command string) error {
	if e.verbose {
		return nil
	}
	file, err := os.CreateTemp("", "egretdock-"+command+"-events-*.log")
	if err != nil {
		return fault.Wrap(err, fault.KindUnavailable, "cannot write the events", "set TMPDIR to a writable directory, or pass -v")
	}
	e.file = file
	logs.SetOutput(file)
	return nil
}

// destination returns the name of the events file, or "standard error".
func (e *eventOutput) destination() string {
	if e.file == nil {
		return "standard error"
	}
	return e.file.Name()
}

// close directs events back to standard error and closes the file.
func (e *eventOutput) close() {
	if e.file != nil {
		logs.SetOutput(os.Stderr)
		_ = e.file.Close()
	}
}
