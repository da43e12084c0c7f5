package feed

import (
	"context"
	"sync"
)

// gate allows reading the store while it is open. It must be created by newGate.
type gate struct {
	mu sync.Mutex
	// openCtx ends when the gate closes. It is nil while the gate is closed.
	openCtx context.Context
	cancel  context.CancelFunc
	// opened is closed and replaced when the gate opens.
	opened chan struct{}
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

// set opens or closes the gate and reports whether the state changed.
func (g *gate) set(parent context.Context, open bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open == (g.openCtx != nil) {
		return false
	}
	if !open {
		g.cancel()
		g.openCtx = nil
		return true
	}
	g.openCtx, g.cancel = context.WithCancel(parent)
	close(g.opened)
	g.opened = make(chan struct{})
	return true
}

// wait blocks until the gate is open and returns a context that ends when it
// closes, or nil when ctx has ended.
func (g *gate) wait(ctx context.Context) context.Context {
	for {
		g.mu.Lock()
		openCtx, opened := g.openCtx, g.opened
		g.mu.Unlock()
		if openCtx != nil {
			return openCtx
		}
		select {
		case <-ctx.Done():
			return nil
		case <-opened:
		}
	}
}
