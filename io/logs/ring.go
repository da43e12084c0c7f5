package logs

import (
	"sync"
)

// DefaultRingSize is the number of events kept in memory. With texts of at most
// 256 bytes they take under 5 MB at worst, of the 32 MB that the
// control plane of a balancer may use.
const DefaultRingSize = 4096

// EventOverwritten is the event that stands for those that the ring no longer
// holds.
const EventOverwritten = "events_overwritten"

// Ring holds the most recent records of one process. Its methods may be called
// from several goroutines.
type Ring struct {
	mu sync.Mutex
	// records is in order of At, starting at next once it is full.
	records []Record
	next    int
	// dropped counts overwritten records; last is the latest of them.
	dropped uint64
	last    Record
}

// NewRing returns a ring that holds up to n records, or DefaultKeep when n is
// not positive.
func NewRing(n int) *Ring {
	if n <= 0 {
		n = DefaultRingSize
	}
	return &Ring{records: make([]Record, 0, n)}
}

// Add appends a record, the stamp of which exceeds those before.
func (g *Ring) Add(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.records) < cap(g.records) {
		g.records = append(g.records, r)
		return
	}
	g.dropped++
	g.last = g.records[g.next]
	g.records[g.next] = r
	g.next = (g.next + 1) % len(g.records)
}
