package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/peers"
	"egretdock/io/store"
)

// Log is the part of *store.Log that a Syncer uses.
type Log interface {
	Load(ctx context.Context) (store.Tail, error)
	LoadSince(ctx context.Context, cfg model.Config) (store.Tail, error)
	WaitForChange(ctx context.Context, from uint64) (uint64, error)
	Lease(ctx context.Context, dc string) (store.Lease, uint64, error)
	PutLease(ctx context.Context, dc string, v store.Lease, version uint64) (uint64, error)
	PutStatus(ctx context.Context, s store.Status) error
	WriteSnapshot(ctx context.Context, cfg model.Config) error
	Prune(ctx context.Context, keep uint64) error
	Rewrite(ctx context.Context, list []rules.Change) (int, error)
}

// Peers fetches configuration from other balancers; *peers.Client implements
// it.
type Peers interface {
	Fetch(ctx context.Context, addr netip.AddrPort, after uint64) (peers.Update, error)
}

// Membership shows the live balancers of this balancer's data centre, as known
// from gossip.
type Membership interface {
	// Acked returns the revision that each live balancer of the data centre has
	// acknowledged, by name, this one included.
	Acked() map[string]uint64
	// Rank returns the position of this balancer in an order of the data
	// centre's live balancers that is the same on all of them, such as by hash
	// of the name; 0 is first.
	Rank() int
}

// Options configure a Syncer. All fields but Seeds and Event are required.
type Options struct {
	Self       model.Balancer
	Log        Log
	Peers      Peers
	Membership Membership
	Active     *ActiveConfig
	Clock      store.Clock
	// Seeds are the fetch addresses of balancers to load the configuration from
	// when the platform is down at the start.
	Seeds []netip.AddrPort
	// Seed initialises the random source.
	Seed uint64
	// Event logs an event with key-value pairs; nil discards them.
	Event func(name string, pairs ...any)
}

const (
	// maxContenders is how many balancers of a data centre contend for its
	// lease. Three keep the platform's load independent of the size of the
	// fleet, and survive the loss of two hosts.
	maxContenders = 3
	// leaseTTL is how long a lease is valid without renewal. Together with
	// renewInterval it bounds the time without a relay to 13 s, below the 19 s
	// in which an edit must be in force even if no other data centre passes it
	// on.
	leaseTTL      = 10 * time.Second
	renewInterval = 3 * time.Second
	// retryInterval is the wait after a failed call to the platform.
	retryInterval = time.Second
	// snapshotInterval is the least number of changes between snapshots. It
	// limits the changes that a starting balancer reads, one call each.
	snapshotInterval = 32
	// logRetention is the number of changes up to the last snapshot that stay
	// readable in the platform.
	logRetention = 512
)

// Syncer keeps the configuration of one balancer current.
type Syncer struct {
	o Options
	// fencingToken is that of the lease while this balancer holds it, or 0.
	fencingToken atomic.Uint64
	// resigned is set by Resign.
	resigned atomic.Bool
	// wake signals followPeers that a peer is ahead. It is buffered, so that a
	// signal is not lost while a fetch is running.
	wake chan struct{}

	// mu protects rng and ahead. No callback runs and no other lock is taken
	// while it is held.
	mu  sync.Mutex
	rng *rand.Rand
	// ahead holds the revisions of peers that are ahead, by fetch address.
	ahead map[netip.AddrPort]uint64
}

// New returns a Syncer; Run starts it.
func New(o Options) *Syncer {
	if o.Event == nil {
		o.Event = func(string, ...any) {}
	}
	return &Syncer{o: o, wake: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(o.Seed, 2)), ahead: map[netip.AddrPort]uint64{}}
}

// FencingToken returns the fencing token of the data centre's lease while this
// balancer holds it, or 0.
func (s *Syncer) FencingToken() uint64 { return s.fencingToken.Load() }

// ObservePeerRevision records the revision that gossip shows for the peer with
// this fetch address. It does not block.
func (s *Syncer) ObservePeerRevision(fetchAddr netip.AddrPort, revision uint64) {
	if revision <= s.o.Active.Config().Revision {
		return
	}
	s.mu.Lock()
	s.ahead[fetchAddr] = max(s.ahead[fetchAddr], revision)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run keeps the configuration current until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.followPeers(ctx) })
	wg.Go(func() {
		if s.loadInitial(ctx) {
			s.contend(ctx)
		}
	})
	wg.Wait()
}

// loadInitial loads the first configuration from the platform or, while the
// platform is down, from peers. It reports false when ctx is done first.
func (s *Syncer) loadInitial(ctx context.Context) bool {
	for {
		tail, err := s.o.Log.Load(ctx)
		if err == nil {
			s.apply(&peers.Snapshot{Config: tail.Config})
			s.o.Event("config_loaded", "from", "platform", "revision", tail.Config.Revision)
			return true
		}
		s.o.Event("platform_failed", "err", err)
		if s.loadFromSeeds(ctx) {
			return true
		}
		if !s.sleep(ctx, retryInterval) {
			return false
		}
	}
}

// maxSeedAnswers bounds the seeds that a starting balancer loads from, so that
// a rack that starts at once does not overload the fleet. Of the configurations
// received, the one with the highest revision stays in force.
const maxSeedAnswers = 3

// loadFromSeeds fetches from seeds in random order. It reports whether there is
// a configuration in force, either from a seed or from a peer known from
// gossip.
func (s *Syncer) loadFromSeeds(ctx context.Context) bool {
	s.mu.Lock()
	order := s.rng.Perm(len(s.o.Seeds))
	s.mu.Unlock()
	answers := 0
	for _, i := range order {
		if answers == maxSeedAnswers {
			break
		}
		if s.fetchFrom(ctx, s.o.Seeds[i]) {
			answers++
		}
	}
	return s.o.Active.Config().Revision > 0
}

// followPeers fetches from peers whenever gossip shows that one is ahead.
func (s *Syncer) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for addr, ok := s.nextPeer(); ok && ctx.Err() == nil; addr, ok = s.nextPeer() {
			s.fetchFrom(ctx, addr)
		}
	}
}

// nextPeer removes and returns the peer with the highest revision above our
// own. A peer that can't be fetched from is tried again when gossip next
// reports it.
func (s *Syncer) nextPeer() (netip.AddrPort, bool) {
	own := s.o.Active.Config().Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	var best netip.AddrPort
	for addr, rev := range s.ahead {
		if rev <= own {
			delete(s.ahead, addr)
			continue
		}
		if !best.IsValid() || rev > s.ahead[best] {
			best = addr
		}
	}
	delete(s.ahead, best)
	return best, best.IsValid()
}

// fetchTimeout is longer than the transfer of a snapshot takes on a slow path.
const fetchTimeout = 5 * time.Second

func (s *Syncer) fetchFrom(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	u, err := s.o.Peers.Fetch(ctx, addr, s.o.Active.Config().Revision)
	if err != nil {
		s.o.Event("fetch_failed", "peer", addr, "err", err)
		return false
	}
	return s.apply(u)
}

func (s *Syncer) apply(u peers.Update) bool {
	if err := s.o.Active.Apply(u); err != nil {
		s.o.Event("config_refused", "err", err)
		return false
	}
	return true
}

// sleep waits for d. It reports false when ctx is done first.
func (s *Syncer) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-s.o.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
