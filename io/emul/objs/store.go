// Package objs is a small fake of the store of the users' platform. It injects
// the faults that the feed must tolerate.
package objs

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Meta is what the store says of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"create_revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is one object.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Event is one change of an object.
type Event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`
	kind    string
	at      uint64
}

// Fault is a way in which the store misbehaves.
type Fault uint8

// Faults.
const (
	// FaultNone answers all calls.
	FaultNone Fault = iota
	// FaultBusy answers 503; nothing is done.
	FaultBusy
	// FaultSilent never answers.
	FaultSilent
	// FaultReset closes the connection without an answer.
	FaultReset
)

// Page is the number of objects of one list answer.
const Page = 50

// Store is an http.Handler. The zero value is empty at revision 1.
type Store struct {
	// Silenced, if set, is told of each call that gets no answer. It must have
	// room.
	Silenced chan struct{}

	mu      sync.Mutex
	objects map[string]map[string]Object
	// revision counts changes above 1.
	revision uint64
	events   []Event
	// floor is the revision up to which the history is dropped.
	floor uint64
	fault Fault
	calls int
	// stale counts the lists that may be answered with an older state; lag is that
	// state, or nil for the current one.
	stale int
	lag   *state
	// changed is closed and replaced at each change and fault.
	changed chan struct{}
}

// state is the objects at one revision.
type state struct {
	objects map[string]map[string]Object
	at      uint64
}

func (s *Store) current() state { return state{objects: s.objects, at: s.at()} }

// Lag lets lists that may be stale show the state of now from now on.
func (s *Store) Lag() {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := state{objects: make(map[string]map[string]Object, len(s.objects)), at: s.at()}
	for kind, objects := range s.objects {
		old.objects[kind] = maps.Clone(objects)
	}
	s.lag = &old
}

// StaleLists returns the number of lists that allowed an older state.
func (s *Store) StaleLists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale
}

// Put writes an object, as its writer would.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, ok := spec.(json.RawMessage)
	if !ok {
		b, err := json.Marshal(spec)
		if err != nil {
			panic("objs: spec can't be encoded: " + err.Error())
		}
		raw = b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = make(map[string]map[string]Object)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	o, old := s.objects[kind][name]
	s.revision++
	if !old {
		o.Meta.Created = s.at()
	}
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.at(), raw
	s.objects[kind][name] = o
	s.record(Event{Object: o, kind: kind, at: s.at()})
	return s.at()
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(Event{Removed: true, Object: o, kind: kind, at: s.at()})
}

// Compact drops the history, so that watches from before fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.events = s.at(), nil
}

// Break sets the fault of all calls from now on; waiting watches end.
func (s *Store) Break(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) at() uint64 { return s.revision + 1 }

func (s *Store) record(e Event) {
	s.events = append(s.events, e)
	s.wake()
}

func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	if s.fail(w, r, fault) {
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/objects/")
	if from := r.FormValue("watch"); from != "" {
		s.watch(w, r, kind, from)
		return
	}
	s.list(w, kind, r.FormValue("after"), r.FormValue("stale_ok") == "1")
}

func (s *Store) fail(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch f {
	case FaultNone:
		return false
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultSilent:
		if s.Silenced != nil {
			s.Silenced <- struct{}{}
		}
		<-r.Context().Done()
	case FaultReset:
		panic(http.ErrAbortHandler)
	}
	return true
}

func (s *Store) list(w http.ResponseWriter, kind, after string, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := s.current()
	if stale {
		s.stale++
		if s.lag != nil {
			shown = *s.lag
		}
	}
	var names []string
	for name := range shown.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > Page
	items := make([]Object, 0, Page)
	for _, name := range names[:min(len(names), Page)] {
		items = append(items, shown.objects[kind][name])
	}
	answer(w, map[string]any{"items": items, "more": more, "at": shown.at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	from, err := strconv.ParseUint(text, 10, 64)
	ms, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for last := false; ; {
		s.mu.Lock()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed, fault, gone := s.changed, s.fault, from < s.floor
		events := s.since(kind, from)
		at := s.at()
		s.mu.Unlock()
		switch {
		case s.fail(w, r, fault):
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || last:
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(kind string, from uint64) []Event {
	out := []Event{}
	for _, e := range s.events {
		if e.kind == kind && e.at > from {
			out = append(out, e)
		}
	}
	return out
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone gets no answer.
	_ = json.NewEncoder(w).Encode(body)
}
