// Package loop runs background functions as kratos servers until they are
// stopped, and provides a sleep that ends with its context.
package loop

import (
	"context"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
)

// Server runs a function as a kratos server. Use New to create one.
type Server struct {
	run    func(context.Context) error
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

var _ transport.Server = (*Server)(nil)

// New returns a server that runs a function until it is stopped.
func New(run func(context.Context) error) *Server {
	s := &Server{run: run, done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start implements transport.Server.
func (s *Server) Start(context.Context) error {
	defer close(s.done)
	return s.run(s.ctx)
}

// Stop implements transport.Server.
func (s *Server) Stop(context.Context) error {
	s.cancel()
	<-s.done
	return nil
}

// Sleep waits for d and reports whether it passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
