package trial

import (
	"context"
	"flag"
	"net/netip"
	"strings"
	"time"

	"egretdock/io/cmdenv"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"egretdock/client"
	"egretdock/core/fault"
)

// Call runs one request, feed or upload as a client.
type Call struct {
	cmdenv.Env
	balancers, address, kind, payload string
	timeout                           time.Duration
	count                             int
}

// Name implements subcommands.Command.
func (*Call) Name() string { return "call" }

// Synopsis implements subcommands.Command.
func (*Call) Synopsis() string { return "run one request, feed or upload as a client" }

// Usage implements subcommands.Command.
func (*Call) Usage() string {
	return `call -balancers IP:PORT,... -address IP:PORT [-kind request|feed|upload] [-payload TEXT]

Opens a flow to a service address through the balancers. A request prints its
answer in hexadecimal; a feed prints -count messages; an upload sends -count
chunks of the payload and then the payload as its final request.

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 invalid argument; 6 no UDP port
available or flow broken; 7 outcome unknown; 10 refused and not run.

`
}

// SetFlags implements subcommands.Command.
func (c *Call) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.balancers, "balancers", "", "addresses of the balancers, separated by commas")
	f.StringVar(&c.address, "address", "", "service address of the customer and port of the class")
	f.StringVar(&c.kind, "kind", "request", "kind of the class: request, feed or upload")
	f.StringVar(&c.payload, "payload", "hello", "payload of the request and of each upload chunk")
	f.DurationVar(&c.timeout, "timeout", 5*time.Second, "timeout of the whole call")
	f.IntVar(&c.count, "count", 3, "number of feed messages or upload chunks")
}

// Execute implements subcommands.Command.
func (c *Call) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, address, err := c.dial()
	if err != nil {
		return c.Finish(c.Name(), err)
	}
	defer func() { _ = cl.Close() }()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.finishCall(c.run(ctx, cl, address))
}

func (c *Call) dial() (*client.Client, netip.AddrPort, error) {
	switch c.kind {
	case "request", "feed", "upload":
	default:
		return nil, netip.AddrPort{}, fault.New(fault.KindInvalid, "unknown kind "+c.kind, "choose request, feed or upload")
	}
	address, err := netip.ParseAddrPort(c.address)
	if err != nil {
		return nil, address, fault.Wrap(err, fault.KindInvalid, "invalid service address", "give -address IP:PORT")
	}
	balancers, err := parseAddrs(c.balancers)
	if err != nil {
		return nil, address, err
	}
	seed := uint64(time.Now().UnixNano())
	link, err := client.DialUDP(balancers, seed)
	if err != nil {
		return nil, address, err
	}
	return client.New(link, client.Options{Seed: seed}), address, nil
}

func parseAddrs(s string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, part := range strings.FieldsFunc(s, func(r rune) bool { return r == ',' }) {
		a, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, fault.Wrap(err, fault.KindInvalid, "invalid address "+part, "give IP:PORT")
		}
		out = append(out, a)
	}
	return out, nil
}

func (c *Call) run(ctx context.Context, cl *client.Client, address netip.AddrPort) error {
	f, err := cl.Open(ctx, address)
	if err != nil {
		return err
	}
	defer f.Close()
	switch c.kind {
	case "feed":
		return c.receive(ctx, f)
	case "upload":
		for range c.count {
			if err := f.Send(ctx, []byte(c.payload)); err != nil {
				return err
			}
		}
		fallthrough
	default:
		answer, err := f.Do(ctx, []byte(c.payload))
		if err == nil {
			c.Print("%x", answer)
		}
		return err
	}
}

func (c *Call) receive(ctx context.Context, f *client.Flow) error {
	for range c.count {
		b, err := f.Receive(ctx)
		if err != nil {
			return err
		}
		c.Print("%s", b)
	}
	return nil
}

// finishCall prints the error of a call, if any, and returns the exit code.
func (c *Call) finishCall(err error) subcommands.ExitStatus {
	status := c.Finish(c.Name(), err)
	var notRun *client.NotRunError
	var unknown *client.UnknownError
	var broken *client.BrokenError
	switch {
	case errors.As(err, &notRun):
		return cmdenv.ExitNotRun
	case errors.As(err, &unknown):
		return cmdenv.ExitUnknownOutcome
	case errors.As(err, &broken):
		return cmdenv.ExitUnavailable
	default:
		return status
	}
}
