// Package admin serves the metrics, health, readiness, status and recent events
// of one process to operators and probes. All pages are read-only.
package admin

import "time"

// State gives the server access to the state of its process. Implementations
// are safe for concurrent use.
type State interface {
	// LastTick returns when the engine last handled a tick. It takes no lock,
	// so that it returns even when the lock of a table is never released.
	LastTick() time.Time
	// Status returns the current state.
	Status() Status
}

// Status is a snapshot of the state of a process. It is immutable and holds no
// keys, payloads or addresses of clients.
type Status struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	// Revision is the configuration revision in force, or 0 without one.
	Revision uint64 `json:"revision"`
	// Settled is true once the process has finished a round of probes, or the
	// host list names no other balancer.
	Settled bool `json:"settled"`
	// Leaving is true from the start of a graceful exit.
	Leaving bool `json:"leaving"`
	// Members are the balancers that this process sees, in order of name.
	Members []Member `json:"members"`
	// Upstreams are those that the process owns, in order of name.
	Upstreams []Upstream `json:"upstreams"`
}

// Member is a balancer as this process sees it.
type Member struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	// Status is alive, for one that is suspected too, or leaving.
	Status string `json:"status"`
}

// Upstream is an upstream that this process owns.
type Upstream struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	Healthy     bool   `json:"healthy"`
	Draining    bool   `json:"draining"`
	// Running, Queued and Limit are counts of requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Limit   int `json:"limit"`
}

// withEmptyLists returns a copy in which nil lists are empty, so that JSON shows
// [] and not null.
func (s Status) withEmptyLists() Status {
	if s.Members == nil {
		s.Members = []Member{}
	}
	if s.Upstreams == nil {
		s.Upstreams = []Upstream{}
	}
	return s
}

// notReadyReason returns why the process should get no new flows, or "" if it
// is ready.
func (s Status) notReadyReason() string {
	switch {
	case s.Revision == 0:
		return "no_config"
	case !s.Settled:
		return "membership_unsettled"
	case s.Leaving:
		return "leaving"
	}
	return ""
}
