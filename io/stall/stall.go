// Package stall measures how long the process did not run: because it was stopped
// by a signal, because its host was suspended, or for want of processor time. What
// waited meanwhile, in sockets and buffers, is as old as that.
package stall

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Threshold is the shortest gap that counts. Shorter ones are usual on a busy
	// host, whose processes run for a part of each tenth of a second.
	Threshold = 150 * time.Millisecond
	// beatInterval is the interval at which Run records that the process runs.
	beatInterval = 50 * time.Millisecond
	// keepStalls is the number of stalls that are remembered.
	keepStalls = 16
)

// Stall is a time in which the process did not run.
type Stall struct {
	// End is when it ran again, and For how long it had not, at most.
	End time.Time
	For time.Duration
}

// Meter records stalls. It is safe for concurrent use. The zero value measures from
// the first call on; Run must run for gaps without other calls to be no stalls.
type Meter struct {
	// Now and Elapsed replace the clocks in tests. Elapsed counts the time in which
	// the host is suspended too, which Now does not.
	Now     func() time.Time
	Elapsed func() time.Duration

	mu sync.Mutex
	// last and lastElapsed are the times of the last beat, and offset is how far the
	// time of day was ahead of the steady clock.
	last        time.Time
	lastElapsed time.Duration
	offset      time.Duration
	// stalls are the last ones, in order.
	stalls []Stall
}

// Run beats until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for {
		m.Beat()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Beat records that the process runs, and the stall since the last beat if there
// was one. Whoever is about to use something that may have waited beats first, as
// it may run before Run does after a stall.
func (m *Meter) Beat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beat()
}

func (m *Meter) beat() {
	now, elapsed := m.clocks()
	if !m.last.IsZero() {
		gap := max(now.Sub(m.last), elapsed-m.lastElapsed)
		if gap > Threshold {
			m.stalls = append(m.stalls[max(0, len(m.stalls)+1-keepStalls):], Stall{End: now, For: gap})
		}
	}
	m.last, m.lastElapsed = now, elapsed
}

// Since returns how long the process did not run, in the stalls that ended after t.
func (m *Meter) Since(t time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beat()
	var sum time.Duration
	for _, s := range m.stalls {
		if s.End.After(t) {
			sum += s.For
		}
	}
	return sum
}

// maxDrift is the change of offset between two beats above which the host may have
// been suspended.
const maxDrift = 20 * time.Millisecond

// clocks returns the time and the time since the host started. The latter takes a
// system call, which is spared while the steady clock and the time of day agree.
func (m *Meter) clocks() (time.Time, time.Duration) {
	if m.Now != nil {
		return m.Now(), m.Elapsed()
	}
	now := time.Now()
	offset := now.Round(0).Sub(epoch.Round(0)) - now.Sub(epoch)
	if d := offset - m.offset; !m.last.IsZero() && d.Abs() < maxDrift {
		return now, m.lastElapsed + now.Sub(m.last)
	}
	m.offset = offset
	return now, sinceBoot()
}

// epoch is a time with both clocks.
var epoch = time.Now()

// sinceBoot returns the time since the host started, with the time in which it was
// suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Suspensions are then not seen; stops by a signal are.
		return 0
	}
	return time.Duration(ts.Nano())
}
