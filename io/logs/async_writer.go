package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes bounds the buffer while the reader of the log is slow; it
	// holds about 4,000 lines.
	maxBufferedBytes = 1 << 20
	// flushDelay is how long lines are collected for one write, so that not every
	// line costs a system call.
	flushDelay = 100 * time.Millisecond
)

// AsyncWriter is a writer that never blocks: lines are buffered for the
// goroutine that writes them, and are dropped and counted while the buffer is
// full. It must be created by NewAsyncWriter.
type AsyncWriter struct {
	out     io.Writer
	dropped atomic.Uint64
	// wake tells the goroutine that the buffer holds lines.
	wake chan struct{}
	// stop is closed by Close, and stopped by the goroutine when it ends.
	stop    chan struct{}
	stopped chan struct{}

	mu  sync.Mutex
	buf []byte
}

// NewAsyncWriter returns a writer to out and starts the goroutine that writes.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	go a.run()
	return a
}

// Write buffers one line or drops it. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	full := len(a.buf)+len(line) > maxBufferedBytes
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

// Dropped returns the number of lines dropped because the buffer was full or the
// output failed.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close writes the buffered lines and stops the goroutine. It waits for at most
// limit.
func (a *AsyncWriter) Close(limit time.Duration) {
	close(a.stop)
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-a.stopped:
	case <-t.C:
	}
}

func (a *AsyncWriter) run() {
	defer close(a.stopped)
	var spare []byte
	for {
		last := false
		select {
		case <-a.wake:
			t := time.NewTimer(flushDelay)
			select {
			case <-t.C:
			case <-a.stop:
				last = true
			}
			t.Stop()
		case <-a.stop:
			last = true
		}
		a.mu.Lock()
		batch := a.buf
		a.buf = spare[:0]
		a.mu.Unlock()
		if len(batch) > 0 {
			if n, err := a.out.Write(batch); err != nil {
				// The failure is only counted, because it cannot be logged.
				a.dropped.Add(uint64(bytes.Count(batch[n:], []byte{'\n'})))
			}
		}
		spare = batch
		if last {
			return
		}
	}
}
