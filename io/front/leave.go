package front

import (
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
)

const (
	// noticeTime is the time in which routers take a balancer out of rotation:
	// two probes 500 ms apart that fail, and the time until the first of them.
	noticeTime = 1500 * time.Millisecond
	// quietTime without a packet shows that routers send none any more.
	quietTime = 300 * time.Millisecond
	// leaveCheck is the interval at which a leaving balancer looks for packets.
	leaveCheck = 100 * time.Millisecond
	// exitTime is kept of the grace for the exit itself.
	exitTime = time.Second
)

// leave turns unready and forwards until the routers have noticed.
func (a *App) leave() {
	a.leaving.Store(true)
	// Peers are told first, so that another one reads the store by the exit.
	a.queue.Push(&input.Leave{})
	start := time.Now()
	a.event(effect.Event{Name: "leaving", Detail: "grace=" + a.settings.GracePeriod.String()})
	t := time.NewTicker(leaveCheck)
	defer t.Stop()
	seen, changed := a.packets.Load(), start
	for now := range t.C {
		if n := a.packets.Load(); n != seen {
			seen, changed = n, now
		}
		waited := now.Sub(start)
		if waited >= noticeTime && now.Sub(changed) >= quietTime || waited >= a.settings.GracePeriod-exitTime {
			return
		}
	}
}
