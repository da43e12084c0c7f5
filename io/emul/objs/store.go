// Package objs is a stand-in for the object store of the users' platform. It
// injects the faults that the feed must tolerate.
package objs

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Meta is the metadata of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"create_revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is an object as the store returns it.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Event is one change of an object.
type Event struct {
	Removed  bool   `json:"removed"`
	Object   Object `json:"object"`
	kind     string
	revision uint64
}

// Fault selects how the store fails calls.
type Fault uint8

// Faults that the store can inject.
const (
	// FaultNone answers all calls.
	FaultNone Fault = iota
	// FaultBusy answers 503 and does nothing.
	FaultBusy
	// FaultSilent never answers.
	FaultSilent
	// FaultReset closes the connection without an answer.
	FaultReset
)

// PageSize is the maximum number of objects in one list answer.
const PageSize = 50

// Store is an http.Handler. The zero value is empty at revision 1 of era 1.
type Store struct {
	// Unanswered, if set, receives a value for each call that gets no answer. The
	// call blocks while its buffer is full.
	Unanswered chan struct{}

	mu      sync.Mutex
	objects map[string]map[string]Object
	// changes counts the changes; the revision is one higher.
	changes uint64
	events  []Event
	// compacted is the revision up to which the history is dropped.
	compacted uint64
	// restores counts the restores; the era is one higher.
	restores uint64
	fault    Fault
	calls    int
	// staleLists counts the lists with stale_ok; pinned is the state that they
	// return, or nil for the current one.
	staleLists int
	pinned     *state
	// changed is closed and replaced at each change and fault.
	changed chan struct{}
}

// state holds the objects after a number of changes.
type state struct {
	objects map[string]map[string]Object
	changes uint64
}

func (st state) revision() uint64 { return st.changes + 1 }

func (s *Store) current() state { return state{objects: s.objects, changes: s.changes} }

// copyState returns the present state, which later changes leave as it is.
func (s *Store) copyState() *state {
	c := s.current()
	c.objects = make(map[string]map[string]Object, len(s.objects))
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return &c
}

// Copy is a state to which Restore can take a store back.
type Copy struct{ state *state }

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{state: s.copyState()}
}

// Restore replaces the state by a copy. What was written since is lost, its
// revisions are issued again, and the era rises by one.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.changes = c.state.objects, c.state.changes
	s.objects = s.copyState().objects
	s.events = slices.DeleteFunc(s.events, func(e Event) bool { return e.revision > s.revision() })
	s.compacted = min(s.compacted, s.revision())
	s.restores++
	s.notify()
}

// Era returns the era of the store.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restores + 1
}

// PinStaleLists makes all later lists with stale_ok return the present state.
func (s *Store) PinStaleLists() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pinned = s.copyState()
}

// StaleLists returns the number of lists with stale_ok so far.
func (s *Store) StaleLists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staleLists
}

// Put creates or updates an object and returns its revision. As at the platform, a
// write that changes nothing makes no change, nor does one that changes only the
// sequence of an instance's entry.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, ok := spec.(json.RawMessage)
	if !ok {
		b, err := json.Marshal(spec)
		if err != nil {
			panic("objs: cannot encode spec: " + err.Error())
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
	o, exists := s.objects[kind][name]
	if exists && (bytes.Equal(o.Spec, raw) || kind == kindInstances && sameButSequence(o.Spec, raw)) {
		o.Spec = raw
		s.objects[kind][name] = o
		return o.Meta.Revision
	}
	s.changes++
	if !exists {
		o.Meta.Created = s.revision()
	}
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision(), raw
	s.objects[kind][name] = o
	s.record(Event{Object: o, kind: kind, revision: s.revision()})
	return s.revision()
}

// kindInstances is the kind whose entries change only when more than their sequence
// does.
const kindInstances = "servers"

func sameButSequence(a, b json.RawMessage) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "sequence")
	delete(y, "sequence")
	return reflect.DeepEqual(x, y)
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
	s.changes++
	s.record(Event{Removed: true, Object: o, kind: kind, revision: s.revision()})
}

// Compact drops the history, so that watches from an older revision fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.events = s.revision(), nil
}

// SetFault sets the fault of all later calls and of pending watches.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notify()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) revision() uint64 { return s.current().revision() }

func (s *Store) record(e Event) {
	s.events = append(s.events, e)
	s.notify()
}

// notify wakes pending watches.
func (s *Store) notify() {
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
	setEra(w, s.restores+1)
	s.mu.Unlock()
	if s.applyFault(w, r, fault) {
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/objects/")
	if from := r.FormValue("watch"); from != "" {
		s.watch(w, r, kind, from)
		return
	}
	s.list(w, kind, r.FormValue("after"), r.FormValue("stale_ok") == "1")
}

// applyFault reports false if the call must be served.
func (s *Store) applyFault(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch f {
	case FaultNone:
		return false
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultSilent:
		if s.Unanswered != nil {
			s.Unanswered <- struct{}{}
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
		s.staleLists++
		if s.pinned != nil {
			shown = *s.pinned
		}
	}
	var names []string
	for name := range shown.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > PageSize
	items := make([]Object, 0, PageSize)
	for _, name := range names[:min(len(names), PageSize)] {
		items = append(items, shown.objects[kind][name])
	}
	setEra(w, s.restores+1)
	answerList(w, items, more, shown.revision())
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	from, err := strconv.ParseUint(text, 10, 64)
	ms, waitErr := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed, fault, gone := s.changed, s.fault, from < s.compacted || from > s.revision()
		events := s.eventsSince(kind, from)
		revision := s.revision()
		setEra(w, s.restores+1)
		s.mu.Unlock()
		switch {
		case s.applyFault(w, r, fault):
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || timedOut:
			answerEvents(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(kind string, from uint64) []Event {
	out := []Event{}
	for _, e := range s.events {
		if e.kind == kind && e.revision > from {
			out = append(out, e)
		}
	}
	return out
}

// setEra sets the header that all responses carry. A watch sets it again, since
// the store may be restored while it waits.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
}
