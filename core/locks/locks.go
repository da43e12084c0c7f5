// Package locks provides ranked locks. A goroutine takes locks only in
// ascending rank, which rules out deadlocks between the shared tables.
package locks

import "sync"

// Rank orders the locks of the shared tables.
type Rank uint8

// Ranks, in the order in which a goroutine may take their locks.
const (
	RankView Rank = iota + 1
	RankMembers
	RankUpstreams
	RankLimits
	RankProbes
	RankFlows
	RankTracks
)

var rankNames = [...]string{
	RankView:      "view",
	RankMembers:   "members",
	RankUpstreams: "upstreams",
	RankLimits:    "limits",
	RankProbes:    "probes",
	RankFlows:     "flows",
	RankTracks:    "tracks",
}

// String returns the name of the table that the rank protects.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return "none"
}

// Holder tracks the ranks that one goroutine holds. It must not be shared
// between goroutines. The zero value holds nothing.
type Holder struct {
	// held has bit r set while a lock of rank r is held.
	held uint16
}

// Mutex is a lock with a rank.
type Mutex struct {
	mu sync.Mutex
}

// Lock takes the mutex at the given rank. It panics when the holder already
// holds a lock of the same or a higher rank.
func (m *Mutex) Lock(h *Holder, r Rank) {
	if h.held>>r != 0 {
		panic("locks: " + r.String() + " lock taken while a lock of the same or a higher rank is held; take locks in rank order")
	}
	m.mu.Lock()
	h.held |= 1 << r
}

// Unlock releases the mutex, which the holder took at the given rank.
func (m *Mutex) Unlock(h *Holder, r Rank) {
	h.held &^= 1 << r
	m.mu.Unlock()
}
