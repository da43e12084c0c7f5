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
		plain(w, http.StatusOK)
		_ = writeText(w, all)
		return
	}
	writeJSON(w, all)
}

// NewMetricsHandler serves a registry as text, for processes without the other
// pages.
func NewMetricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		plain(w, http.StatusOK)
		_ = writeText(w, collect(r))
	})
}

// healthz fails when the engine has not handled a tick for stuckAfter. It does
// not touch the tables.
func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	if age := s.opts.Now().Sub(s.opts.State.LastTick()); age > stuckAfter {
		plain(w, http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, "healthy=false reason=no_tick limit=%s\n", stuckAfter)
		return
	}
	plain(w, http.StatusOK)
	_, _ = fmt.Fprintln(w, "healthy=true")
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.opts.State.Status().notReady(); reason != "" {
		plain(w, http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, "ready=false reason=%s\n", reason)
		return
	}
	plain(w, http.StatusOK)
	_, _ = fmt.Fprintln(w, "ready=true")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.opts.State.Status().withLists())
}

// events serves the recent events as lines, with ?after= only those later than
// a timestamp.
func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	var after clock.Stamp
	if v := r.FormValue("after"); v != "" {
		var err error
		if after, err = clock.Parse(v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	plain(w, http.StatusOK)
	for _, rec := range s.opts.Events.After(after) {
		if _, err := fmt.Fprintln(w, rec.String()); err != nil {
			return
		}
	}
}

func plain(w http.ResponseWriter, code int) {
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
