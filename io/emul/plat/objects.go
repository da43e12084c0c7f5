// Package plat is a fake of the platform: an object store with versions,
// conditional updates and watches over HTTP.
//
//	GET    /objects/<key>             value, version in ETag
//	PUT    /objects/<key>             If-None-Match: * creates; If-Match: "<version>" updates
//	DELETE /objects/<key>             If-Match: "<version>" is optional
//	GET    /list?prefix=<p>           {"version", "objects"}
//	GET    /watch?prefix=<p>&from=<v> the same for changes after version v; waits for the first one
//
// Versions increase across the whole store. A failed condition answers 412, a
// value above the limit 413.
package plat

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
)

// MaxValue is the limit on the size of a value in bytes.
const MaxValue = 1 << 20

// Object is one entry of a list or watch.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	// Value is absent in a deletion.
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Page is the answer to a list or watch.
type Page struct {
	// Version is the version of the store that the page shows.
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// objects is the store. Deleted objects stay as tombstones, so that watches
// see them.
type objects struct {
	mu      sync.Mutex
	version uint64
	byKey   map[string]Object
	// changed is closed and replaced on each write.
	changed chan struct{}
}

func newObjects() *objects {
	return &objects{byKey: map[string]Object{}, changed: make(chan struct{})}
}

// get returns a live object.
func (s *objects) get(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.byKey[key]
	return o, ok && !o.Deleted
}

// condition is the version that a write expects.
type condition struct {
	// any accepts every version. Otherwise version 0 means that the object must
	// not exist.
	any     bool
	version uint64
}

// write stores the object if the condition holds and returns its new version,
// or the current version and false.
func (s *objects) write(o Object, want condition) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := uint64(0)
	if old, ok := s.byKey[o.Key]; ok && !old.Deleted {
		current = old.Version
	}
	if !want.any && current != want.version || o.Deleted && current == 0 {
		return current, false
	}
	s.version++
	o.Version = s.version
	s.byKey[o.Key] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o.Version, true
}

// copyState returns the present version and objects.
func (s *objects) copyState() (uint64, map[string]Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, maps.Clone(s.byKey)
}

// restore replaces the version and the objects. Pending watches wait on.
func (s *objects) restore(version uint64, byKey map[string]Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.byKey = version, maps.Clone(byKey)
}

// page returns the objects under prefix that changed after the version, and a
// channel that is closed on the next write. Deletions are included only for
// watches.
func (s *objects) page(prefix string, after uint64, deletions bool) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Page{Version: s.version, Objects: []Object{}}
	for key, o := range s.byKey {
		if strings.HasPrefix(key, prefix) && o.Version > after && (deletions || !o.Deleted) {
			p.Objects = append(p.Objects, o)
		}
	}
	slices.SortFunc(p.Objects, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	return p, s.changed
}
