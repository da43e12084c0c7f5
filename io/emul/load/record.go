package load

import (
	"slices"
	"sync"
	"time"

	"egretdock/io/emul/audit"
	"egretdock/io/emul/upstr"
)

// record collects the history of a run. It is safe for concurrent use.
type record struct {
	mu sync.Mutex
	h  audit.History
	// pushes counts pushed messages in intervals of 100 ms.
	pushes map[pushKey]int
}

type pushKey struct {
	customer, class string
	at              time.Time
}

func newRecord() *record {
	return &record{h: audit.History{Upstreams: make(map[string]string)}, pushes: make(map[pushKey]int)}
}

// update runs fn on the history with the lock held.
func (r *record) update(fn func(*audit.History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(&r.h)
}

func (r *record) addCall(c audit.Call) {
	r.update(func(h *audit.History) { h.Calls = append(h.Calls, c) })
}

func (r *record) addFlow(f audit.Flow) {
	r.update(func(h *audit.History) { h.Flows = append(h.Flows, f) })
}

func (r *record) addFault(f audit.Fault) {
	r.update(func(h *audit.History) { h.Faults = append(h.Faults, f) })
}

func (r *record) countPush(customer, class string) {
	k := pushKey{customer, class, time.Now().Truncate(100 * time.Millisecond)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pushes[k]++
}

// replaceLastFault replaces the last fault for which match returns true with the
// fault that match returns.
func (r *record) replaceLastFault(match func(audit.Fault) (audit.Fault, bool)) {
	r.update(func(h *audit.History) {
		for i := len(h.Faults) - 1; i >= 0; i-- {
			if f, ok := match(h.Faults[i]); ok {
				h.Faults[i] = f
				return
			}
		}
	})
}

// history returns a copy of the history, with the upstreams' runs, accepts and
// misrouted packets from their journal. Later records do not change the copy.
func (r *record) history(j *upstr.Journal) *audit.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.h
	h.Calls, h.Flows = slices.Clone(h.Calls), slices.Clone(h.Flows)
	h.Faults, h.InForce = slices.Clone(h.Faults), slices.Clone(h.InForce)
	for k, n := range r.pushes {
		h.Pushes = append(h.Pushes, audit.PushCount{Customer: k.customer, Class: k.class, At: k.at, Count: n})
	}
	h.Runs, h.Accepts, h.Misrouted = j.Runs(), j.Accepts(), j.Misrouted()
	return &h
}
