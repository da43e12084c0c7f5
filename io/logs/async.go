package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBytes bounds the lines that wait for a slow reader: about 4,000 lines.
	asyncBytes = 1 << 20
	// asyncDelay is how long lines are collected before they are written, which
	// saves a system call for each.
	asyncDelay = 100 * time.Millisecond
)

// AsyncWriter is a writer that never blocks: lines wait in a buffer for the goroutine
// that writes them, and are dropped and counted while the buffer is full. It
// must be made by NewAsync.
type AsyncWriter struct {
	out     io.Writer
	dropped atomic.Uint64
	wake    chan struct{}
	done    chan struct{}
	ended   chan struct{}

	mu  sync.Mutex
	buf []byte
}

// NewAsyncWriter returns a writer to out and starts its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{})}
	go a.run()
	return a
}

// Write takes one line; it never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	full := len(a.buf)+len(line) > asyncBytes
	if !full {
		a.buf = append(a.buf, line...)
	}
	a.mu.Unlock()
	if full {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that found no room.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes what is left, for at most limit, and stops the goroutine.
func (a *AsyncWriter) Close(limit time.Duration) {
	close(a.done)
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-a.ended:
	case <-t.C:
	}
}

func (a *AsyncWriter) run() {
	defer close(a.ended)
	var spare []byte
	for {
		last := false
		select {
		case <-a.wake:
			t := time.NewTimer(asyncDelay)
			select {
			case <-t.C:
			case <-a.done:
				last = true
			}
			t.Stop()
		case <-a.done:
			last = true
		}
		a.mu.Lock()
		batch := a.buf
		a.buf = spare[:0]
		a.mu.Unlock()
		if len(batch) > 0 {
			if _, err := a.out.Write(batch); err != nil {
				// The log itself can't be reported in the log.
				a.dropped.Add(1)
			}
		}
		spare = batch
		if last {
			return
		}
	}
}
