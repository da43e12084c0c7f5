package trial

import (
	"flag"
	"os"

	"egretdock/core/fault"
	"egretdock/io/logs"
)

// events decides where the balancers of a trial write their events: to a file,
// so that progress and report stay readable, or to standard error.
type events struct {
	verbose bool
	file    *os.File
}

func (e *events) setFlags(f *flag.FlagSet) {
	f.BoolVar(&e.verbose, "v", false, "write the balancers' events to standard error and not to a file")
}

// open sends the events of this process to a new file, unless they are wanted
// on standard error.
func (e *events) open(command string) error {
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

// name returns the file's name, or where else the events went.
func (e *events) name() string {
	if e.file == nil {
		return "standard error"
	}
	return e.file.Name()
}

func (e *events) close() {
	if e.file != nil {
		logs.SetOutput(os.Stderr)
		_ = e.file.Close()
	}
}
