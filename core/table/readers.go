package table

import (
	"sync"
	"sync/atomic"
)

// Readers tracks which revision each worker routes by, so that a revision is
// acknowledged only when no packet routed by an older one can still leave. The
// zero value has no readers.
type Readers struct {
	mu  sync.Mutex
	all []*Reader
}

// Reader publishes the revision that one worker routes by.
type Reader struct {
	// revision is that of the view in use plus one, or 0 while idle.
	revision atomic.Uint64
}

// Enter marks the start of a batch that is routed by view v or a newer one.
func (r *Reader) Enter(v *View) {
	if r.revision.Load() == 0 {
		r.revision.Store(v.Config.Revision + 1)
	}
}

// Exit marks that all packets of the batch have been sent.
func (r *Reader) Exit() { r.revision.Store(0) }

// Add registers a worker and returns its reader.
func (rs *Readers) Add() *Reader {
	r := &Reader{}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.all = append(rs.all, r)
	return r
}

// AllReached reports whether no worker routes by a revision below n.
func (rs *Readers) AllReached(n uint64) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.all {
		if in := r.revision.Load(); in != 0 && in-1 < n {
			return false
		}
	}
	return true
}
