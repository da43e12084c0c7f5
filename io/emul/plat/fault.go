package plat

import (
	"maps"
	"strings"
	"sync"
	"time"
)

// Faults are switches that make the platform misbehave. All may be set while
// it serves.
type Faults struct {
	mu   sync.Mutex
	down bool
	slow time.Duration
	lag  time.Duration
	cut  map[string]bool
	// lose counts the answers to lose by key prefix.
	lose map[string]int
	held chan struct{}
}

// SetDown makes every call fail with 503 and ends pending watches.
func (f *Faults) SetDown(down bool) {
	f.change(func() { f.down = down })
}

// SetSlow delays the answer of every call.
func (f *Faults) SetSlow(d time.Duration) {
	f.change(func() { f.slow = d })
}

// SetWatchLag delays the answers of watches; they then show what the store
// held before the delay.
func (f *Faults) SetWatchLag(d time.Duration) {
	f.change(func() { f.lag = d })
}

// SetCut separates a client, named by its X-Client header, from the platform.
func (f *Faults) SetCut(client string, cut bool) {
	f.change(func() {
		if f.cut == nil {
			f.cut = map[string]bool{}
		}
		f.cut[client] = cut
	})
}

// LoseAnswers breaks the connection instead of answering the next n writes of
// keys with the prefix, after they took effect.
func (f *Faults) LoseAnswers(prefix string, n int) {
	f.change(func() {
		if f.lose == nil {
			f.lose = map[string]int{}
		}
		f.lose[prefix] = n
	})
}

func (f *Faults) change(set func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set()
	if f.held != nil {
		close(f.held)
		f.held = nil
	}
}

// state returns whether the client is served, the delays, and a channel that
// is closed when a switch changes.
func (f *Faults) state(client string) (served bool, slow, lag time.Duration, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == nil {
		f.held = make(chan struct{})
	}
	return !f.down && !f.cut[client], f.slow, f.lag, f.held
}

// takeLost reports whether the answer to a write of the key is to be lost.
func (f *Faults) takeLost(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for prefix, n := range f.lose {
		if n > 0 && strings.HasPrefix(key, prefix) {
			f.lose[prefix]--
			return true
		}
	}
	return false
}

// calls counts calls by kind.
type calls struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *calls) add(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[kind]++
}

func (c *calls) snapshot() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}
