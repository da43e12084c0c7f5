// Package worker runs the engine on a fixed number of goroutines over the
// shared tables. A worker blocks in its source while there is nothing to do.
package worker

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"egretdock/core/effect"
	"egretdock/core/engine"
	"egretdock/core/input"
)

// Source delivers inputs to one worker.
type Source interface {
	// Read blocks until there is input, passes each one to fn, and returns.
	// Inputs are valid only during the call of fn. Read returns an error when
	// the source is closed.
	Read(fn func(input.Input)) error
}

// Sink carries out the effects of one worker.
type Sink interface {
	// Put takes an effect, which is valid only during the call.
	Put(e effect.Effect)
	// Flush sends what Put has collected.
	Flush()
}

// Pool is a set of workers that share an engine.
type Pool struct {
	Engine *engine.Engine
	// Now returns the current time.
	Now func() time.Time
	// Seed starts the random source of the first worker; each further worker
	// adds one.
	Seed uint64
}

// Run starts one worker for each source and waits until all have ended. sink
// makes the sink of each worker. It returns nil once ctx is cancelled and the
// sources are closed.
func (p *Pool) Run(ctx context.Context, sources []Source, sink func() Sink) error {
	g, ctx := errgroup.WithContext(ctx)
	for i, src := range sources {
		g.Go(func() error { return p.work(ctx, src, sink(), p.Seed+uint64(i)) })
	}
	return g.Wait()
}

func (p *Pool) work(ctx context.Context, src Source, out Sink, seed uint64) error {
	w := engine.NewWorkerState(seed)
	tables := &p.Engine.Tables
	reader := tables.Readers.Add()
	handle := func(in input.Input) {
		reader.Enter(tables.View())
		w.Out.Reset()
		p.Engine.Handle(w, p.Now(), in)
		for _, e := range w.Out.Items() {
			out.Put(e)
		}
	}
	for {
		err := src.Read(handle)
		out.Flush()
		reader.Exit()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Queue is a source that is fed by Push. It must be made by NewQueue.
type Queue struct {
	in   chan input.Input
	done <-chan struct{}
}

// NewQueue returns a queue of the given capacity that closes with ctx.
func NewQueue(ctx context.Context, capacity int) *Queue {
	return &Queue{in: make(chan input.Input, capacity), done: ctx.Done()}
}

// Push adds an input; it blocks while the queue is full and drops the input
// once the queue is closed.
func (q *Queue) Push(in input.Input) {
	select {
	case q.in <- in:
	case <-q.done:
	}
}

// Read implements Source.
func (q *Queue) Read(fn func(input.Input)) error {
	select {
	case in := <-q.in:
		fn(in)
		return nil
	case <-q.done:
		return context.Canceled
	}
}
