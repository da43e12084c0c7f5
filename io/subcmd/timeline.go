package subcmd

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/io/trace"
)

// Timeline is the command that merges the event lines of many processes. The
// zero value uses standard input for the file "-", standard output and standard
// error.
type Timeline struct {
	In       io.Reader
	Out, Err io.Writer

	conditions []trace.Condition
	adminAddrs []string
	htmlPath   string
	help       bool
}

var _ subcommands.Command = (*Timeline)(nil)

// Name implements subcommands.Command.
func (*Timeline) Name() string { return "timeline" }

// Synopsis implements subcommands.Command.
func (*Timeline) Synopsis() string { return "merge the events of many processes into one timeline" }

// Usage implements subcommands.Command.
func (*Timeline) Usage() string {
	return `timeline [flags] FILE…
timeline [flags] -addr URL…
	Merge the event lines of log files and admin addresses, and print them in
	the order of their logical timestamps. FILE may be - for standard input.
	Conditions are combined: an event is shown when it matches all of them.

	Examples:
	  egretdock timeline casa1-b1.log casa1-b2.log
	  egretdock timeline -flow 7 -addr http://10.0.0.1:9300 http://10.0.0.2:9300
	  egretdock timeline -revision 41 -html edit.html *.log
	  egretdock timeline -client 100.66.0.23:1040 *.log
	  egretdock timeline -customer tunde_drains -event open_refused *.log

	Exit codes:
	  0  the timeline is complete
	  1  a source could not be read or holds malformed lines, or the output could
	     not be written; what could be read is printed
	  2  the command line is wrong

	Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *Timeline) SetFlags(f *flag.FlagSet) {
	// Package flag treats help as an error unless a flag of that name is defined.
	// It is defined so that help exits with 0.
	f.BoolVar(&c.help, "help", false, "print this page")
	f.BoolVar(&c.help, "h", false, "print this page")
	c.numberFlag(f, "flow", "show the events of this `flow`", func(n uint64) trace.Condition { return trace.ByFlow(n) })
	c.numberFlag(f, "revision", "show the events of this configuration `revision` (edit)", func(n uint64) trace.Condition { return trace.ByRevision(n) })
	c.textFlag(f, "customer", "show the events of this `customer`", func(s string) trace.Condition { return trace.ByCustomer(s) })
	c.textFlag(f, "upstream", "show the events of this `upstream`", func(s string) trace.Condition { return trace.ByUpstream(s) })
	c.textFlag(f, "request", "show the events of this `request`", func(s string) trace.Condition { return trace.ByRequest(s) })
	c.textFlag(f, "client", "show the events of the flow from this client `address` and port, or of all its flows without a port", func(s string) trace.Condition { return trace.ByClient(s) })
	c.textFlag(f, "event", "show the events with this `name`", func(s string) trace.Condition { return trace.ByEvent(s) })
	c.textFlag(f, "process", "show the events of this `process`", func(s string) trace.Condition { return trace.ByProcess(s) })
	f.StringVar(&c.htmlPath, "html", "", "write a page for a browser to this `file` instead of text")
	f.Func("addr", "read the events of the process with this admin `URL`; more URLs may follow", func(s string) error {
		c.adminAddrs = append(c.adminAddrs, s)
		return nil
	})
}

// Execute implements subcommands.Command.
func (c *Timeline) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	d := c.withDefaults()
	if d.help {
		_, _ = fmt.Fprint(d.Out, d.Usage())
		f.SetOutput(d.Out)
		f.PrintDefaults()
		return subcommands.ExitSuccess
	}
	sources, err := d.sources(f.Args())
	if err != nil {
		_, _ = fmt.Fprintln(d.Err, "timeline:", err)
		return subcommands.ExitUsageError
	}
	t, errs := trace.Read(ctx, sources, d.conditions...)
	if err := d.write(t); err != nil {
		errs = append(errs, err)
	}
	for _, err := range errs {
		_, _ = fmt.Fprintln(d.Err, "timeline:", err)
	}
	if len(errs) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Timeline) withDefaults() Timeline {
	d := *c
	d.In = cmp.Or[io.Reader](d.In, os.Stdin)
	d.Out = cmp.Or[io.Writer](d.Out, os.Stdout)
	d.Err = cmp.Or[io.Writer](d.Err, os.Stderr)
	return d
}

// sources returns the sources that -addr and the arguments name. An argument is
// a URL when it starts with http:// or https://.
func (c *Timeline) sources(args []string) ([]trace.Source, error) {
	var out []trace.Source
	for _, a := range c.adminAddrs {
		u, err := eventsURL(a)
		if err != nil {
			return nil, err
		}
		out = append(out, trace.EventsURL(u))
	}
	for _, a := range args {
		switch {
		case strings.HasPrefix(a, "http://"), strings.HasPrefix(a, "https://"):
			u, err := eventsURL(a)
			if err != nil {
				return nil, err
			}
			out = append(out, trace.EventsURL(u))
		case a == "-":
			out = append(out, trace.Stream{Name: "standard input", Reader: c.In})
		case strings.HasPrefix(a, "-"):
			return nil, fault.New(fault.KindInvalid, "flag "+a+" after a file or URL", "put the flags first, or write ./"+a+" for a file")
		default:
			out = append(out, trace.File(a))
		}
	}
	if len(out) == 0 {
		return nil, fault.New(fault.KindInvalid, "nothing to read", "name log files, or admin addresses with -addr; -help shows examples")
	}
	return out, nil
}

// eventsURL completes an admin address to the URL of its events page.
func eventsURL(addr string) (string, error) {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	u, err := url.Parse(addr)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", fault.New(fault.KindInvalid, "invalid admin address "+strconv.Quote(addr), "write it as in http://10.0.0.1:9300")
	}
	if u.Path == "" || u.Path == "/" {
		u.Path = "/events"
	}
	return u.String(), nil
}

func (c *Timeline) write(t trace.Timeline) error {
	if c.htmlPath == "" {
		return trace.WriteText(c.Out, t)
	}
	f, err := os.Create(c.htmlPath)
	if err != nil {
		return fault.Wrap(err, fault.KindUnavailable, "cannot write the page", "choose another file with -html")
	}
	return errors.Join(trace.WriteHTML(f, t), f.Close())
}

func (c *Timeline) numberFlag(f *flag.FlagSet, name, usage string, newCondition func(uint64) trace.Condition) {
	f.Func(name, usage, func(s string) error {
		n, err := strconv.ParseUint(s, 0, 64)
		if err != nil || n == 0 {
			return errors.New("not a positive number")
		}
		c.conditions = append(c.conditions, newCondition(n))
		return nil
	})
}

func (c *Timeline) textFlag(f *flag.FlagSet, name, usage string, newCondition func(string) trace.Condition) {
	f.Func(name, usage, func(s string) error {
		if s == "" {
			return errors.New("empty")
		}
		c.conditions = append(c.conditions, newCondition(s))
		return nil
	})
}
