// Package admin serves what operators and probes ask of one process: metrics,
// health, readiness, status and recent events. It only reads; nothing can be
// changed through it.
package admin

import "time"

// State is what the server reads of its process. Implementations may be called
// from several goroutines.
type State interface {
	// LastTick returns when the engine last handled a tick. It takes no lock,
	// so that it responds while a table is stuck.
	LastTick() time.Time
	// Status returns the present state.
	Status() Status
}

// Status is the state of a process at one moment. It is immutable and holds no
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
	// Members are the balancers seen, in order of name.
	Members []Member `json:"members"`
	// Upstreams are those that the process owns, in order of name.
	Upstreams []Upstream `json:"upstreams"`
}

// Member is a balancer as this process sees it.
type Member struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	// Status is alive, suspect, leaving or dead.
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

// withLists returns a copy in which absent lists are empty ones, so that JSON
// shows [] and not null.
func (s Status) withLists() Status {
	if s.Members == nil {
		s.Members = []Member{}
	}
	if s.Upstreams == nil {
		s.Upstreams = []Upstream{}
	}
	return s
}

// notReady returns why the process should get no new flows, or "".
func (s Status) notReady() string {
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
