// Command egretdock runs and operates the load balancer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"egretdock/io/cmdenv"
	"egretdock/io/subcmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := subcmd.Main(ctx, os.Args[1:], cmdenv.DefaultEnv())
	stop()
	os.Exit(code)
}
