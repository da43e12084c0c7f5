package feed

import (
	"context"
	"sync"
	"time"
)

// contact records whether the store answers this balancer. It is safe for
// concurrent use; the zero value has not called the store.
type contact struct {
	mu sync.Mutex
	// lost holds the kinds of objects whose last call failed while the balancer
	// reads the store.
	lost map[string]bool
	// turn holds a value while a kind calls a store that it has lost; nil before the
	// first such call.
	turn chan struct{}
	// answeredAt is when the store last answered.
	answeredAt time.Time
}

// setLost records whether the last call for a kind of objects failed.
func (c *contact) setLost(kind string, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil {
		c.lost = make(map[string]bool)
	}
	c.lost[kind] = lost
}

// takeTurn waits while another kind of objects calls a store that it has lost, at
// most for limit, so that a store that is away gets one call at a time. It ends with
// that call, whatever comes of it: what the other kind has to wait for later, such
// as a change, holds up nobody. The caller calls release after its own call.
func (c *contact) takeTurn(ctx context.Context, limit time.Duration) (release func()) {
	t := time.NewTimer(limit)
	defer t.Stop()
	turn := c.turnChannel()
	select {
	case turn <- struct{}{}:
		return func() { <-turn }
	case <-t.C:
	case <-ctx.Done():
	}
	return func() {}
}

func (c *contact) turnChannel() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turn == nil {
		c.turn = make(chan struct{}, 1)
	}
	return c.turn
}

// setAnswered records that the store answered a call for a kind of objects at a
// time.
func (c *contact) setAnswered(kind string, at time.Time) {
	c.setLost(kind, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.answeredAt) {
		c.answeredAt = at
	}
}

// isLost reports whether the last call for any kind of objects failed.
func (c *contact) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, lost := range c.lost {
		if lost {
			return true
		}
	}
	return false
}

// lastAnswer returns when the store last answered.
func (c *contact) lastAnswer() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredAt
}
