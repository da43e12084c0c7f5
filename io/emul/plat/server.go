package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// watchTimeout is how long a watch stays pending before it answers with an
// empty page.
const watchTimeout = 30 * time.Second

// Server serves the platform's protocol. The zero value is not usable.
type Server struct {
	// Faults are the injected faults.
	Faults Faults

	objects *objects
	calls   calls
	mux     http.ServeMux
}

// NewServer returns an empty platform.
func NewServer() *Server {
	s := &Server{objects: newObjects()}
	s.mux.HandleFunc("GET /objects/{key...}", s.get)
	s.mux.HandleFunc("PUT /objects/{key...}", s.put)
	s.mux.HandleFunc("DELETE /objects/{key...}", s.delete)
	s.mux.HandleFunc("GET /list", s.list)
	s.mux.HandleFunc("GET /watch", s.watch)
	return s
}

// Calls returns the number of calls by kind: get, put, delete, list, watch.
// Calls that a fault rejected are not counted.
func (s *Server) Calls() map[string]int { return s.calls.snapshot() }

// Put stores a value as the platform's own components do, such as the host
// list under hosts/.
func (s *Server) Put(key string, value []byte) {
	s.objects.write(Object{Key: key, Value: value}, condition{any: true})
}

// Delete removes an object.
func (s *Server) Delete(key string) {
	s.objects.write(Object{Key: key, Deleted: true}, condition{any: true})
}

// Value returns the value of an object, or nil.
func (s *Server) Value(key string) []byte {
	o, _ := s.objects.get(key)
	return o.Value
}

// Copy is a state to which Restore can take a platform back.
type Copy struct {
	version uint64
	byKey   map[string]Object
}

// Copy returns a copy of the present state.
func (s *Server) Copy() Copy {
	version, byKey := s.objects.copyState()
	return Copy{version: version, byKey: byKey}
}

// Restore replaces the state by a copy. What was written since is lost, and its
// versions are issued again.
func (s *Server) Restore(c Copy) { s.objects.restore(c.version, c.byKey) }

// ServeHTTP applies the injected faults and serves the call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	served, slow, _, _ := s.Faults.state(r.Header.Get("X-Client"))
	if !served {
		http.Error(w, "platform is not available", http.StatusServiceUnavailable)
		return
	}
	if !wait(r, slow) {
		return
	}
	s.mux.ServeHTTP(w, r)
}

// wait waits for d. It reports false if the client disconnects first.
func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.calls.add("get")
	o, ok := s.objects.get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(o.Version))
	_, _ = w.Write(o.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.calls.add("put")
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.write(w, r, Object{Value: value})
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.calls.add("delete")
	s.write(w, r, Object{Deleted: true})
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, o Object) {
	o.Key = r.PathValue("key")
	want, ok := conditionOf(r)
	if !ok {
		http.Error(w, "If-Match holds no version", http.StatusBadRequest)
		return
	}
	version, ok := s.objects.write(o, want)
	if s.Faults.loseAnswer(o.Key) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
	switch {
	case ok:
		w.WriteHeader(http.StatusNoContent)
	case o.Deleted && version == 0:
		http.Error(w, "no such object", http.StatusNotFound)
	default:
		http.Error(w, "the condition does not hold", http.StatusPreconditionFailed)
	}
}

func conditionOf(r *http.Request) (condition, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return condition{}, true
	}
	m := r.Header.Get("If-Match")
	if m == "" {
		return condition{any: true}, true
	}
	n, err := strconv.ParseUint(strings.Trim(m, `"`), 10, 64)
	return condition{version: n}, err == nil && n > 0
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.calls.add("list")
	p, _ := s.objects.page(r.FormValue("prefix"), 0, false)
	answer(w, p)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.calls.add("watch")
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a version", http.StatusBadRequest)
		return
	}
	limit := time.NewTimer(watchTimeout)
	defer limit.Stop()
	for {
		served, _, lag, faultsChanged := s.Faults.state(r.Header.Get("X-Client"))
		if !served {
			http.Error(w, "platform is not available", http.StatusServiceUnavailable)
			return
		}
		p, changed := s.objects.page(r.FormValue("prefix"), from, true)
		if len(p.Objects) > 0 {
			if wait(r, lag) {
				answer(w, p)
			}
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-limit.C:
			answer(w, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, p Page) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p)
}
