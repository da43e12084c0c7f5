package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"egretdock/core/model"
	"egretdock/io/peers"
	"egretdock/io/store"
)

// Log is the platform as the relay uses it; *store.Log implements it.
type Log interface {
	Load(ctx context.Context) (store.Tail, error)
	LoadSince(ctx context.Context, cfg model.Config) (store.Tail, error)
	WaitForChange(ctx context.Context, from uint64) (uint64, error)
	Lease(ctx context.Context, dc string) (store.Lease, uint64, error)
	PutLease(ctx context.Context, dc string, v store.Lease, version uint64) (uint64, error)
	PutStatus(ctx context.Context, s store.Status) error
	WriteSnapshot(ctx context.Context, cfg model.Config) error
	Prune(ctx context.Context, keep uint64) error
}

// Peers fetches configuration from another balancer; *peers.Client implements
// it.
type Peers interface {
	Fetch(ctx context.Context, addr netip.AddrPort, after uint64) (peers.Update, error)
}

// Membership is what gossip shows of the own data centre.
type Membership interface {
	// Acked returns the revision of each live balancer of the data centre,
	// this one included.
	Acked() map[string]uint64
	// Rank returns the place of this balancer in an order of them that all
	// agree on, such as by hash of the name; 0 is first.
	Rank() int
}

// Options configure a Relay. All fields but Seeds and Event are required.
type Options struct {
	Self   model.Balancer
	Log    Log
	Peers  Peers
	Membership  Membership
	Active *ActiveConfig
	Clock  store.Clock
	// Seeds are fetch addresses to ask when the platform is down at the start.
	Seeds []netip.AddrPort
	// Seed starts the random source of waits.
	Seed uint64
	// Event reports what happened, with pairs of key and value.
	Event func(name string, pairs ...any)
}

const (
	// contenders is how many balancers of a data centre try to hold its lease.
	// Three keep the platform's load independent of the size of the fleet,
	// and survive the loss of two hosts.
	contenders = 3
	// leaseTTL is how long a lease stands without renewal. With renewEvery it
	// bounds the time without a relay to 13 s, below the 19 s in which an edit
	// must be in effect even if no other data centre passes it on.
	leaseTTL   = 10 * time.Second
	renewEvery = 3 * time.Second
	// retryEvery is the wait after a failed call to the platform.
	retryEvery = time.Second
	// snapshotEvery is the number of changes between snapshots. A starting
	// balancer reads as many changes at most, one call each.
	snapshotEvery = 32
	// keepLog is the number of changes that stay readable in the platform.
	keepLog = 512
)

// Syncer keeps the configuration of one balancer current.
type Syncer struct {
	o Options
	// holding is the fencing number while this balancer holds the lease, or 0.
	holding atomic.Uint64
	// resigned is set when the balancer leaves.
	resigned atomic.Bool
	// wake has room for one token: a peer is ahead.
	wake chan struct{}

	// mu protects rng and ahead. Nothing is called while it is held.
	mu    sync.Mutex
	rng   *rand.Rand
	ahead map[netip.AddrPort]uint64
}

// New returns a relay; Run starts it.
func New(o Options) *Syncer {
	if o.Event == nil {
		o.Event = func(string, ...any) {}
	}
	return &Syncer{o: o, wake: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(o.Seed, 2)), ahead: map[netip.AddrPort]uint64{}}
}

// FencingToken returns the fencing number while this balancer holds the lease of
// its data centre, or 0.
func (r *Syncer) FencingToken() uint64 { return r.holding.Load() }

// ObservePeerRevision reports that gossip shows a revision at a peer. It does not block.
func (r *Syncer) ObservePeerRevision(fetch netip.AddrPort, revision uint64) {
	if revision <= r.o.Active.Config().Revision {
		return
	}
	r.mu.Lock()
	r.ahead[fetch] = max(r.ahead[fetch], revision)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run keeps the configuration current until ctx is done.
func (r *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.fetch(ctx) })
	wg.Go(func() {
		if r.start(ctx) {
			r.contend(ctx)
		}
	})
	wg.Wait()
}

// start gets a first configuration from the platform, or from peers while the
// platform is down. It reports false when ctx is done first.
func (r *Syncer) start(ctx context.Context) bool {
	for {
		t, err := r.o.Log.Load(ctx)
		if err == nil {
			r.offer(&peers.Snapshot{Config: t.Config})
			r.o.Event("config_loaded", "from", "platform", "revision", t.Config.Revision)
			return true
		}
		r.o.Event("platform_failed", "err", err)
		if r.ask(ctx) {
			return true
		}
		if !r.pause(ctx, retryEvery) {
			return false
		}
	}
}

// askPeers bounds the peers that a starting balancer asks, so that a rack that
// starts at once does not load the fleet. It takes the highest revision.
const askPeers = 3

// ask fetches from seeds in random order and reports whether one had a
// configuration, or gossip brought one meanwhile.
func (r *Syncer) ask(ctx context.Context) bool {
	r.mu.Lock()
	order := r.rng.Perm(len(r.o.Seeds))
	r.mu.Unlock()
	answers := 0
	for _, i := range order {
		if answers == askPeers {
			break
		}
		if r.fetchFrom(ctx, r.o.Seeds[i]) {
			answers++
		}
	}
	return r.o.Active.Config().Revision > 0
}

// fetch takes what peers have whenever gossip shows that one is ahead.
func (r *Syncer) fetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for addr, ok := r.best(); ok && ctx.Err() == nil; addr, ok = r.best() {
			r.fetchFrom(ctx, addr)
		}
	}
}

// best removes and returns the peer with the highest revision above our own. A
// peer that fails is tried again when gossip names it again.
func (r *Syncer) best() (netip.AddrPort, bool) {
	own := r.o.Active.Config().Revision
	r.mu.Lock()
	defer r.mu.Unlock()
	var top netip.AddrPort
	for addr, rev := range r.ahead {
		if rev <= own {
			delete(r.ahead, addr)
			continue
		}
		if !top.IsValid() || rev > r.ahead[top] {
			top = addr
		}
	}
	delete(r.ahead, top)
	return top, top.IsValid()
}

// fetchTimeout is above the time that a snapshot takes on a slow path.
const fetchTimeout = 5 * time.Second

func (r *Syncer) fetchFrom(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	u, err := r.o.Peers.Fetch(ctx, addr, r.o.Active.Config().Revision)
	if err != nil {
		r.o.Event("fetch_failed", "peer", addr, "err", err)
		return false
	}
	return r.offer(u)
}

func (r *Syncer) offer(u peers.Update) bool {
	if err := r.o.Active.Apply(u); err != nil {
		r.o.Event("config_refused", "err", err)
		return false
	}
	return true
}

// pause waits and reports false when ctx is done.
func (r *Syncer) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-r.o.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
