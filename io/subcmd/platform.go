package subcmd

import (
	"context"
	"flag"
	"net"
	"net/http"
	"time"

	"egretdock/io/cmdenv"

	"github.com/google/subcommands"

	"egretdock/core/fault"
	"egretdock/io/emul/plat"
)

type platform struct {
	cmdenv.Env
	listen string
}

func (*platform) Name() string     { return "platform" }
func (*platform) Synopsis() string { return "run a stand-in for the platform, for trials" }
func (*platform) Usage() string {
	return `platform [-listen ADDRESS]

Runs an object store with versions, conditional updates and watches that speaks
the platform's protocol and keeps everything in memory.

Example:
  egretdock platform -listen 127.0.0.1:7070
` + cmdenv.ExitHelp
}

func (c *platform) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7070", "the address to listen on; port 0 picks a free one")
}

func (c *platform) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.Finish(c.Name(), c.run(ctx))
}

func (c *platform) run(ctx context.Context) error {
	ln, err := net.Listen("tcp", c.listen)
	if err != nil {
		return fault.Wrap(err, fault.KindInvalid, "cannot listen on the address", "choose another address with -listen")
	}
	srv := &http.Server{Handler: plat.NewServer(), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	c.Print("platform at http://%s", ln.Addr())
	if err := srv.Serve(ln); ctx.Err() == nil {
		return err
	}
	return nil
}
