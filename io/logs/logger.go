package logs

import (
	"io"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"egretdock/core/clock"
	"egretdock/core/effect"
)

// Options are the settings of a Logger.
type Options struct {
	// Process names the process in each line; it must not be empty.
	Process    string
	DataCentre string
	// RingSize is the number of events kept in memory; 0 selects DefaultRingSize.
	RingSize int
	// Now is the physical clock; nil selects time.Now.
	Now func() time.Time
}

// Logger stamps the events of one process, writes them through klog and keeps
// the most recent ones in a ring. Its methods may be called from several
// goroutines. Its lock is acquired before the ring's and is not held while klog
// writes.
type Logger struct {
	now func() time.Time
	// origin holds the fields that all records share.
	origin Record
	ring   *Ring

	mu sync.Mutex
	// stamp is the last stamp issued. It only increases.
	stamp clock.Stamp
}

// SetOutput makes klog write the lines of this process to w instead of standard
// error. It is called before the first line.
func SetOutput(w io.Writer) {
	klog.LogToStderr(false)
	klog.SetOutput(w)
}

// NewLogger returns a logger without events.
func NewLogger(o Options) *Logger {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Logger{
		now:    o.Now,
		origin: Record{Process: o.Process, DataCentre: o.DataCentre},
		ring:   NewRing(o.RingSize),
	}
}

// Write stamps an event, adds it to the ring and writes it through klog.
func (l *Logger) Write(e effect.Event) {
	klog.InfoDepth(1, l.record(e).String())
}

// Tick returns a new stamp for a message to another process.
func (l *Logger) Tick() clock.Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stamp = l.stamp.Tick(l.now())
	return l.stamp
}

// Observe merges the stamp of a received message, so that later events of this
// process get greater stamps. It returns false when the stamp is more than
// clock.MaxDrift ahead and is ignored.
func (l *Logger) Observe(remote clock.Stamp) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ok bool
	l.stamp, ok = l.stamp.Merge(l.now(), remote)
	return ok
}

// Ring returns the ring with the most recent events.
func (l *Logger) Ring() *Ring { return l.ring }

// record stamps an event and adds it to the ring.
func (l *Logger) record(e effect.Event) Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stamp = l.stamp.Tick(l.now())
	r := l.origin.WithEvent(e)
	r.At = l.stamp
	// Adding under the lock keeps the ring ordered by stamp.
	l.ring.Add(r)
	return r
}
