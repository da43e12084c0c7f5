// Command egretdock runs and operates the load balancer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"egretdock/io/subcmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := subcmd.Main(ctx, os.Args[1:], subcmd.DefaultEnv())
	stop()
	os.Exit(code)
}
