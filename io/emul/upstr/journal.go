package upstr

import (
	"net/netip"
	"sync"
	"time"
)

// Run is one execution of a request.
type Run struct {
	Upstream    string
	Incarnation uint64
	Address     netip.AddrPort
	Flow        uint64
	Request     uint64
	// Payload identifies the work; clients make it unique.
	Payload string
	At      time.Time
}

// Accept is one flow that an upstream accepted.
type Accept struct {
	Upstream    string
	Incarnation uint64
	Address     netip.AddrPort
	Flow        uint64
	At          time.Time
}

// Journal records the executions and accepted flows of all upstreams of a
// deployment. It is safe for concurrent use; the zero value is empty.
type Journal struct {
	mu        sync.Mutex
	runs      []Run
	accepts   []Accept
	misrouted int
	// lastNewWork is keyed by upstream.
	lastNewWork map[string]time.Time
}

func (j *Journal) recordRun(r Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
}

func (j *Journal) recordAccept(a Accept) {
	j.mu.Lock()
	j.accepts = append(j.accepts, a)
	j.mu.Unlock()
	j.recordNewWork(a.Upstream, a.At)
}

func (j *Journal) recordMisroute() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.misrouted++
}

// recordNewWork records the time at which an upstream last took new work.
func (j *Journal) recordNewWork(upstream string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lastNewWork == nil {
		j.lastNewWork = make(map[string]time.Time)
	}
	j.lastNewWork[upstream] = at
}

// Runs returns a copy of the executions so far.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Run(nil), j.runs...)
}

// Accepts returns a copy of the flows accepted so far.
func (j *Journal) Accepts() []Accept {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Accept(nil), j.accepts...)
}

// Misrouted returns the number of packets that reached an upstream that does
// not serve their address.
func (j *Journal) Misrouted() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.misrouted
}

// LastNewWork returns when the upstream last took a new flow or request.
func (j *Journal) LastNewWork(upstream string) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastNewWork[upstream]
}
