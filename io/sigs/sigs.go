// Package sigs keeps signals from ending a process that is still starting.
package sigs

import (
	"os"
	"os/signal"
	"syscall"
)

// Reloads returns a channel that receives SIGHUP. Signals that arrive before the
// channel is read are combined into one. A caller that reads its settings after
// this call misses no change: hangups before it are ignored, those after it are
// received.
func Reloads() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
