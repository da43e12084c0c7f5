//go:build review

package main

import (
	"syscall"
	"time"
)

const (
	freezeTime = 75 * time.Second
	// frozenFor is how long a balancer stands still, freezeGap the time until the next
	// one does.
	frozenFor, freezeGap = 3500 * time.Millisecond, 6500 * time.Millisecond
)

// freezes lets one balancer after the other stand still for some seconds.
func (b *bed) freezes() {
	time.Sleep(leadTime)
	for _, x := range b.balancers {
		if time.Until(b.end) < frozenFor+stableWindow {
			return
		}
		b.record("%s stands still", x.name)
		x.setFrozen(true)
		x.signal(syscall.SIGSTOP)
		time.Sleep(frozenFor)
		x.signal(syscall.SIGCONT)
		x.setFrozen(false)
		b.record("%s goes on", x.name)
		time.Sleep(freezeGap)
	}
}

func (x *balancer) setFrozen(frozen bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.frozen, x.resumedAt = frozen, time.Now()
}

// inTouch reports whether the balancer has run for stableWindow.
func (x *balancer) inTouch() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.frozen && time.Since(x.resumedAt) > stableWindow
}
