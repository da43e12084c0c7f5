package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"

	"egretdock/core/clock"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /events", s.events)
	return mux
}

// metrics serves the registry as JSON, or as text with ?format=text or a
// request that accepts text/plain.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	all := collect(s.opts.Registry)
	if r.FormValue("format") == "text" || strings.HasPrefix(r.Header.Get("Accept"), "text/plain") {
		writePlainHeader(w, http.StatusOK)
		_ = writeText(w, all)
		return
	}
	writeJSON(w, all)
}

// NewMetricsHandler serves a registry as text, for processes that have none of
// the other pages.
func NewMetricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writePlainHeader(w, http.StatusOK)
		_ = writeText(w, collect(r))
	})
}

// healthz fails when the engine has not handled a tick for maxTickAge. It takes
// no lock of a table, so that it can report an engine that is stuck.
func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	if age := s.opts.Now().Sub(s.opts.State.LastTick()); age > maxTickAge {
		writePlainHeader(w, http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, "healthy=false reason=no_tick limit=%s\n", maxTickAge)
		return
	}
	writePlainHeader(w, http.StatusOK)
	_, _ = fmt.Fprintln(w, "healthy=true")
}

// readyz fails when the process should get no new flows.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.opts.State.Status().notReadyReason(); reason != "" {
		writePlainHeader(w, http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, "ready=false reason=%s\n", reason)
		return
	}
	writePlainHeader(w, http.StatusOK)
	_, _ = fmt.Fprintln(w, "ready=true")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.opts.State.Status().withEmptyLists())
}

// events serves the recent events, one a line; ?after= limits them to those
// after a timestamp.
func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	var after clock.Stamp
	if v := r.FormValue("after"); v != "" {
		var err error
		if after, err = clock.Parse(v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	writePlainHeader(w, http.StatusOK)
	for _, rec := range s.opts.Events.After(after) {
		if _, err := fmt.Fprintln(w, rec.String()); err != nil {
			return
		}
	}
}

// writePlainHeader writes the status code and the headers of a text page.
func writePlainHeader(w http.ResponseWriter, code int) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(code)
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(append(b, '\n'))
}
