package stall

import (
	"testing"
	"time"
)

// clocks are the clocks of a host.
type clocks struct {
	now     time.Time
	elapsed time.Duration
}

func (c *clocks) meter() *Meter {
	c.now = time.Now()
	m := &Meter{Now: func() time.Time { return c.now }, Elapsed: func() time.Duration { return c.elapsed }}
	m.Beat()
	return m
}

// run lets the process run for a time.
func (c *clocks) run(m *Meter, d time.Duration) {
	for ; d > 0; d -= beatInterval {
		c.now, c.elapsed = c.now.Add(beatInterval), c.elapsed+beatInterval
		m.Beat()
	}
}

func wantSince(t *testing.T, m *Meter, from time.Time, want time.Duration) {
	t.Helper()
	if got := m.Since(from); got != want {
		t.Errorf("the process did not run for %s, want %s", got, want)
	}
}

// Guards against a stall that nobody notices, and against a process that runs and
// counts as stalled.
func TestStalls(t *testing.T) {
	t.Run("running", func(t *testing.T) {
		var c clocks
		m := c.meter()
		start := c.now
		c.run(m, 5*time.Second)
		wantSince(t, m, start, 0)
	})
	t.Run("stopped by a signal", func(t *testing.T) {
		var c clocks
		m := c.meter()
		start := c.now
		c.now, c.elapsed = c.now.Add(3*time.Second), c.elapsed+3*time.Second
		wantSince(t, m, start, 3*time.Second)
		c.run(m, time.Second)
		wantSince(t, m, c.now, 0)
		wantSince(t, m, start, 3*time.Second)
	})
	t.Run("host suspended", func(t *testing.T) {
		var c clocks
		m := c.meter()
		start := c.now
		c.now, c.elapsed = c.now.Add(10*time.Millisecond), c.elapsed+4*time.Second
		wantSince(t, m, start, 4*time.Second)
	})
	t.Run("many", func(t *testing.T) {
		var c clocks
		m := c.meter()
		for range 3 * keepStalls {
			c.now, c.elapsed = c.now.Add(time.Second), c.elapsed+time.Second
			m.Beat()
		}
		wantSince(t, m, time.Time{}, keepStalls*time.Second)
	})
}
