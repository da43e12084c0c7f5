package trial

import (
	"context"
	"flag"
	"net/netip"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/io/emul/cases"
	"egretdock/io/emul/upstr"
)

// Upstream runs one stand-in upstream as a process.
type Upstream struct {
	cmdenv.Env
	example, service, name string
	listen, health         string
	seed                   uint64
}

// Name implements subcommands.Command.
func (*Upstream) Name() string { return "upstream" }

// Synopsis implements subcommands.Command.
func (*Upstream) Synopsis() string { return "run a stand-in upstream" }

// Usage implements subcommands.Command.
func (*Upstream) Usage() string {
	return `upstream [-example casablanca|lagos] -service NAME [-name NAME] [-listen IP:PORT] [-health IP:PORT]

Serves flows of one service of an example until it is interrupted, and prints
the addresses of its packet socket and of its health endpoint.

Exit codes: 0 ended by a signal; 2 wrong usage; 3 invalid argument; 8 no such
service.

`
}

// SetFlags implements subcommands.Command.
func (u *Upstream) SetFlags(f *flag.FlagSet) {
	f.StringVar(&u.example, "example", "casablanca", "example deployment")
	f.StringVar(&u.service, "service", "order_desk", "service of the example")
	f.StringVar(&u.name, "name", "upstream", "name of the upstream")
	f.StringVar(&u.listen, "listen", "127.0.0.1:0", "address for flow packets; port 0 selects a free one")
	f.StringVar(&u.health, "health", "127.0.0.1:0", "address of the health endpoint; port 0 selects a free one")
	f.Uint64Var(&u.seed, "seed", 1, "seed of service times")
}

// Execute implements subcommands.Command.
func (u *Upstream) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cfg, err := u.config()
	if err != nil {
		return u.Finish(u.Name(), err)
	}
	s, err := upstr.Start(cfg)
	if err != nil {
		return u.Finish(u.Name(), err)
	}
	defer s.Close()
	u.Print("endpoint=%s health=%s", s.Endpoint(), s.Health())
	<-ctx.Done()
	return subcommands.ExitSuccess
}

func (u *Upstream) config() (upstr.Config, error) {
	c, err := cases.Find(u.example)
	if err != nil {
		return upstr.Config{}, err
	}
	s, ok := c.Service(u.service)
	if !ok {
		return upstr.Config{}, fault.New(fault.KindNotFound, "unknown service "+u.service+" in example "+c.Name, "choose one of its templates")
	}
	addrs := [2]netip.AddrPort{}
	for i, text := range []string{u.listen, u.health} {
		if addrs[i], err = netip.ParseAddrPort(text); err != nil {
			return upstr.Config{}, fault.Wrap(err, fault.KindInvalid, "invalid address "+text, "give IP:PORT")
		}
	}
	return upstr.Config{
		Name: u.name, Service: u.service, Addresses: c.Addresses(u.service), Listen: addrs[0], Health: addrs[1],
		Slots: s.Slots, MaxConnections: s.Connections, Behaviours: s.Behaviours(), Seed: u.seed,
	}, nil
}
