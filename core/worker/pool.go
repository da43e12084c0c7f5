// Package worker runs the engine on a fixed number of goroutines over the
// shared tables. A worker without input blocks in Source.Read.
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
	// Read blocks until inputs are available, passes each of them to fn, and
	// returns. Inputs are valid only during the call of fn. Read returns an
	// error when the source is closed.
	Read(fn func(input.Input)) error
}

// Sink carries out the effects of one worker.
type Sink interface {
	// Put carries out or buffers an effect, which is valid only during the call.
	Put(e effect.Effect)
	// Flush sends what Put has buffered.
	Flush()
}

// Pool is a set of workers that share an engine.
type Pool struct {
	Engine *engine.Engine
	// Now returns the current time.
	Now func() time.Time
	// Seed is the random seed of the first worker; each further worker uses the
	// next number.
	Seed uint64
}

// Run starts one worker for each source and waits until all have ended. newSink
// creates the sink of each worker. Run returns nil once ctx is cancelled and
// the sources are closed.
func (p *Pool) Run(ctx context.Context, sources []Source, newSink func() Sink) error {
	g, workersCtx := errgroup.WithContext(ctx)
	for i, src := range sources {
		g.Go(func() error {
			err := p.runWorker(workersCtx, src, newSink(), p.Seed+uint64(i))
			if ctx.Err() != nil {
				// The sources are closed once ctx has ended. A read may fail before
				// the end has reached workersCtx.
				return nil
			}
			return err
		})
	}
	return g.Wait()
}

// runWorker handles the inputs of a source until the source is closed.
func (p *Pool) runWorker(ctx context.Context, src Source, out Sink, seed uint64) error {
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

// Queue is a source of the inputs passed to Push. Use NewQueue to create one.
type Queue struct {
	inputs chan input.Input
	done   <-chan struct{}
}

// NewQueue returns a queue of the given capacity that closes with ctx.
func NewQueue(ctx context.Context, capacity int) *Queue {
	return &Queue{inputs: make(chan input.Input, capacity), done: ctx.Done()}
}

// Push adds an input; it blocks while the queue is full and drops the input
// once the queue is closed.
func (q *Queue) Push(in input.Input) {
	select {
	case q.inputs <- in:
	case <-q.done:
	}
}

// Read implements Source.
func (q *Queue) Read(fn func(input.Input)) error {
	select {
	case in := <-q.inputs:
		fn(in)
		return nil
	case <-q.done:
		return context.Canceled
	}
}
