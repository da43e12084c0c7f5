package plat

import (
	"maps"
	"strings"
	"sync"
	"time"
)

// Faults injects faults into the platform. All of them may be set while it
// serves.
type Faults struct {
	mu   sync.Mutex
	down bool
	slow time.Duration
	lag  time.Duration
	cut  map[string]bool
	// lose counts the answers to lose by key prefix.
	lose map[string]int
	// changed is closed and discarded when a fault changes.
	changed chan struct{}
}

// SetDown makes every call fail with 503 and ends pending watches.
func (f *Faults) SetDown(down bool) {
	f.change(func() { f.down = down })
}

// SetSlow delays the answer of every call.
func (f *Faults) SetSlow(d time.Duration) {
	f.change(func() { f.slow = d })
}

// SetWatchLag delays the answers of watches, which show the store as it was
// before the delay.
func (f *Faults) SetWatchLag(d time.Duration) {
	f.change(func() { f.lag = d })
}

// SetCut makes the calls of a client, named by its X-Client header, fail with
// 503, or ends that.
func (f *Faults) SetCut(client string, cut bool) {
	f.change(func() {
		if f.cut == nil {
			f.cut = map[string]bool{}
		}
		f.cut[client] = cut
	})
}

// LoseAnswers closes the connection instead of answering the next n writes of
// keys with the prefix. The writes take effect.
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
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// state returns whether the client is served, the delays, and a channel that
// is closed when a fault changes.
func (f *Faults) state(client string) (served bool, slow, lag time.Duration, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return !f.down && !f.cut[client], f.slow, f.lag, f.changed
}

// loseAnswer reports whether to lose the answer to a write of key, and counts it.
func (f *Faults) loseAnswer(key string) bool {
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
