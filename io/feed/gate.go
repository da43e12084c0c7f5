package feed

import (
	"context"
	"sync"
)

// gate lets the store be read while it is open. It must be made by newGate.
type gate struct {
	mu sync.Mutex
	// open is nil while the gate is closed; its context ends when it closes.
	open   context.Context
	cancel context.CancelFunc
	// changed is closed and replaced when the gate opens.
	changed chan struct{}
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// set opens or closes the gate and reports whether that changed it.
func (g *gate) set(parent context.Context, open bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open == (g.open != nil) {
		return false
	}
	if !open {
		g.cancel()
		g.open = nil
		return true
	}
	g.open, g.cancel = context.WithCancel(parent)
	close(g.changed)
	g.changed = make(chan struct{})
	return true
}

// wait blocks until the gate is open and returns a context that ends when it
// closes, or nil when ctx has ended.
func (g *gate) wait(ctx context.Context) context.Context {
	for {
		g.mu.Lock()
		open, changed := g.open, g.changed
		g.mu.Unlock()
		if open != nil {
			return open
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
