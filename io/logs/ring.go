package logs

import (
	"sync"
)

// DefaultRingSize is the number of events kept in memory. With six texts of at
// most 256 bytes each they take under 8 MB of the 32 MB that the control plane
// of a balancer may use.
const DefaultRingSize = 4096

// EventOverwritten is the name of the event that Ring.After returns in place of
// the events that were overwritten.
const EventOverwritten = "events_overwritten"

// Ring holds the most recent records of one process. Its methods may be called
// from several goroutines.
type Ring struct {
	mu sync.Mutex
	// records is ordered by At. Once it is full, next is the index of the oldest
	// record, which is overwritten next.
	records []Record
	next    int
	// overwritten counts the overwritten records; lastOverwritten is the latest
	// of them.
	overwritten     uint64
	lastOverwritten Record
}

// NewRing returns a ring that holds up to n records, or DefaultRingSize when n is
// not positive.
func NewRing(n int) *Ring {
	if n <= 0 {
		n = DefaultRingSize
	}
	return &Ring{records: make([]Record, 0, n)}
}

// Add appends a record. Its stamp must be greater than those of all records
// before it.
func (g *Ring) Add(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.records) < cap(g.records) {
		g.records = append(g.records, r)
		return
	}
	g.overwritten++
	g.lastOverwritten = g.records[g.next]
	g.records[g.next] = r
	g.next = (g.next + 1) % len(g.records)
}
