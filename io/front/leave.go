package front

import (
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
)

const (
	// deregistrationTime is the time in which routers take a balancer out of
	// rotation: two failed probes 500 ms apart, and the time until the first.
	deregistrationTime = 1500 * time.Millisecond
	// quietPeriod is the time without packets after which the routers are assumed
	// to send no more.
	quietPeriod = 300 * time.Millisecond
	// leaveCheckInterval is the interval at which a leaving balancer checks for new
	// packets.
	leaveCheckInterval = 100 * time.Millisecond
	// exitTime is the part of the grace period that is reserved for the exit.
	exitTime = time.Second
)

// leave fails the readiness probes and keeps forwarding until the routers send
// no more packets or the grace period is nearly over.
func (a *App) leave() {
	a.leaving.Store(true)
	// Peers are told first, so that another balancer reads the store before this
	// one exits.
	a.queue.Push(&input.Leave{})
	start := time.Now()
	a.logEvent(effect.Event{Name: "leaving", Detail: "grace=" + a.settings.GracePeriod.String()})
	t := time.NewTicker(leaveCheckInterval)
	defer t.Stop()
	count, lastPacket := a.clientPackets.Load(), start
	for now := range t.C {
		if n := a.clientPackets.Load(); n != count {
			count, lastPacket = n, now
		}
		waited := now.Sub(start)
		if waited >= deregistrationTime && now.Sub(lastPacket) >= quietPeriod || waited >= a.settings.GracePeriod-exitTime {
			return
		}
	}
}
