package table

import (
	"net/netip"
	"time"

	"egretdock/core/locks"
	"egretdock/core/packet"
)

// flowShards is the number of independently locked parts of the flow cache; a
// power of two well above the number of workers.
const flowShards = 64

// FlowIdleTimeout is how long a cached route is kept without traffic. Clients
// of feeds send a keep-alive every few seconds.
const FlowIdleTimeout = 2 * time.Minute

// FlowKey identifies a flow of one customer.
type FlowKey struct {
	Flow uint64
	// Binding is Binding.ID of the customer.
	Binding uint32
}

type flowEntry struct {
	route *packet.Route
	// usedAt is when the route was last used, in seconds since the Unix epoch.
	usedAt uint32
}

// Flows caches the routes of flows whose clients echo no token. It is bounded;
// a full shard accepts no new entry until an old one is idle. The zero value is
// empty and has the limit DefaultFlowLimit.
type Flows struct {
	// Limit bounds the number of entries; 0 means DefaultFlowLimit. It is set
	// before first use.
	Limit  int
	shards [flowShards]flowShard
}

// DefaultFlowLimit is the number of cached routes of one balancer.
const DefaultFlowLimit = 1 << 19

type flowShard struct {
	mu locks.Mutex
	m  map[FlowKey]flowEntry
	// sweptAt is when idle entries were last removed, in seconds since the Unix
	// epoch.
	sweptAt uint32
}

func (f *Flows) shard(k FlowKey) *flowShard {
	x := k.Flow * 0x9e3779b97f4a7c15
	return &f.shards[x>>(64-6)]
}

func (f *Flows) perShard() int {
	if f.Limit <= 0 {
		return DefaultFlowLimit / flowShards
	}
	return max(1, f.Limit/flowShards)
}

// Get returns the cached route and marks it as used.
func (f *Flows) Get(h *locks.Holder, now time.Time, k FlowKey) (packet.Route, bool) {
	s := f.shard(k)
	s.mu.Lock(h, locks.RankFlows)
	defer s.mu.Unlock(h, locks.RankFlows)
	e, ok := s.m[k]
	if !ok {
		return packet.Route{}, false
	}
	if sec := uint32(now.Unix()); sec != e.usedAt {
		e.usedAt = sec
		s.m[k] = e
	}
	return *e.route, true
}

// Put caches a route. It reports false when the shard is full of entries that
// are not idle.
func (f *Flows) Put(h *locks.Holder, now time.Time, k FlowKey, r *packet.Route) bool {
	s := f.shard(k)
	s.mu.Lock(h, locks.RankFlows)
	defer s.mu.Unlock(h, locks.RankFlows)
	if s.m == nil {
		s.m = make(map[FlowKey]flowEntry)
	}
	sec := uint32(now.Unix())
	if _, ok := s.m[k]; !ok && len(s.m) >= f.perShard() && !s.dropIdle(sec) {
		return false
	}
	s.m[k] = flowEntry{route: r, usedAt: sec}
	return true
}

// Remove removes the cached route of a flow if it leads to the given endpoint,
// whichever incarnation it names.
func (f *Flows) Remove(h *locks.Holder, k FlowKey, endpoint netip.AddrPort) {
	s := f.shard(k)
	s.mu.Lock(h, locks.RankFlows)
	defer s.mu.Unlock(h, locks.RankFlows)
	if e, ok := s.m[k]; ok && e.route.Endpoint == endpoint {
		delete(s.m, k)
	}
}

// Len returns the number of cached routes.
func (f *Flows) Len(h *locks.Holder) int {
	n := 0
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock(h, locks.RankFlows)
		n += len(s.m)
		s.mu.Unlock(h, locks.RankFlows)
	}
	return n
}

// dropIdle removes idle entries at most once a second, so that a flood of new
// flows does not scan a full shard for each packet.
func (s *flowShard) dropIdle(sec uint32) bool {
	if sec <= s.sweptAt {
		return false
	}
	s.sweptAt = sec
	idle := uint32(FlowIdleTimeout / time.Second)
	before := len(s.m)
	for k, e := range s.m {
		if sec-e.usedAt > idle {
			delete(s.m, k)
		}
	}
	return len(s.m) < before
}
