package upstr

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// Report is the body of the health endpoint.
type Report struct {
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining"`
	Running     int    `json:"running"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

func (s *Server) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil && s.cfg.IsCut(from.Addr()) {
			// The caller must get no answer, as from a host that it cannot reach.
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Report())
	})
	return mux
}

// Report returns what the health endpoint serves: a report that may be as old
// as Config.ReportLag, or a false one.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.reportedAt.IsZero() || now.Sub(s.reportedAt) >= s.cfg.ReportLag {
		s.reportedAt = now
		s.report = Report{
			Incarnation: s.incarnation,
			Draining:    s.draining,
			Running:     s.running + len(s.queue),
			Slots:       s.cfg.Slots,
			Connections: len(s.conns),
		}
	}
	r := s.report
	if s.falseReport.Load() {
		r.Running, r.Draining = 0, false
	}
	return r
}
