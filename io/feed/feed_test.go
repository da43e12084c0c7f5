package feed

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/query"
	"egretdock/io/emul/objs"
	"egretdock/platform"
)

// at returns the position of a revision in the stand-in store's first era.
func at(revision uint64) model.Position { return model.Position{Era: 1, Revision: revision} }

// fixture runs a feed with an emulated store. It is also the feed's LocalState
// and its only peer.
type fixture struct {
	t      *testing.T
	store  *objs.Store
	inputs chan input.Input
	events chan effect.Event
	// asked receives a value for each request for news, while its buffer has room.
	asked chan struct{}

	mu sync.Mutex
	// earlier are the balancers that read the store before the balancer of the feed.
	earlier []model.Balancer
	// later are those that read it after.
	later []model.Balancer
	// self is true when the balancer of the feed is the reader.
	self bool
	// others are the other live balancers.
	others []model.Balancer
	// news is the response of the other balancers; nil means that they don't
	// respond.
	news    *query.News
	inForce query.InForce
}

func newFixture(t *testing.T, self bool) *fixture {
	t.Helper()
	return newFixtureWithStore(t, &objs.Store{Unanswered: make(chan struct{}, 100)}, self)
}

// newFixtureWithStore starts a feed on a store that may hold objects. The prepare
// functions set the fixture and the feed up before the feed runs.
func newFixtureWithStore(t *testing.T, store *objs.Store, self bool, prepare ...func(*fixture, *Feed)) *fixture {
	t.Helper()
	fx := &fixture{
		t: t, store: store, self: self, earlier: []model.Balancer{{Name: "reader"}},
		inputs: make(chan input.Input, 1000), events: make(chan effect.Event, 1000), asked: make(chan struct{}, 1),
	}
	srv := httptest.NewServer(fx.store)
	f := &Feed{
		Store: platform.NewStoreClient(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))),
		Peers: fx, Local: fx,
		Push:        func(in input.Input) { fx.inputs <- in },
		LogEvent:    func(e effect.Event) { fx.events <- e },
		ObserveCall: func(time.Duration, bool) {},
	}
	for _, fn := range prepare {
		fn(fx, f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		srv.CloseClientConnections()
		srv.Close()
	})
	return fx
}

func (fx *fixture) StoreReaders() (readers []model.Balancer, self string) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if !fx.self {
		readers = slices.Clone(fx.earlier)
	}
	return append(append(readers, model.Balancer{Name: "self"}), fx.later...), "self"
}

func (fx *fixture) NewsSources() []model.Balancer {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.others
}

func (fx *fixture) InForce() query.InForce {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.inForce
}

func (fx *fixture) CloseIdleConnections() {}

func (fx *fixture) WaitNews(ctx context.Context, _ netip.AddrPort, _ query.InForce, _ time.Duration) (query.News, error) {
	fx.mu.Lock()
	news := fx.news
	fx.mu.Unlock()
	select {
	case fx.asked <- struct{}{}:
	default:
	}
	if news == nil {
		<-ctx.Done()
		return query.News{}, errors.New("no response")
	}
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Millisecond):
	}
	return *news, nil
}

func (fx *fixture) setNews(n *query.News) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.news = n
}

// waitFor waits for an input that fn accepts.
func waitFor[T input.Input](fx *fixture, what string, fn func(T) bool) {
	fx.t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case in := <-fx.inputs:
			if v, ok := in.(T); ok && fn(v) {
				return
			}
		case <-timeout:
			fx.t.Fatalf("no input: %s", what)
		}
	}
}

// waitFirstLists waits until the first lists of both kinds of objects have arrived.
func (fx *fixture) waitFirstLists() {
	fx.t.Helper()
	routes, instances := false, false
	for timeout := time.After(20 * time.Second); !routes || !instances; {
		select {
		case in := <-fx.inputs:
			switch in.(type) {
			case *input.RoutesConfirmed:
				routes = true
			case *input.InstancesListed:
				instances = true
			default:
			}
		case <-timeout:
			fx.t.Fatal("no first lists")
		}
	}
}

func (fx *fixture) waitEvent(name string) {
	fx.t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case e := <-fx.events:
			if e.Name == name {
				return
			}
		case <-timeout:
			fx.t.Fatalf("no event %s", name)
		}
	}
}

func (fx *fixture) setOthers(others ...model.Balancer) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.others = others
}

func (fx *fixture) putInstance(id, state string) uint64 {
	return fx.store.Put("servers", id, map[string]any{
		"service": "desk", "address": "10.0.0.1:80", "zone": "ain", "slots": 2, "state": state, "warmup_left_ms": 0, "sequence": 1,
	})
}

func (fx *fixture) putRouting(version uint64) uint64 {
	return fx.store.Put("config", "main", map[string]any{"version": version})
}

func atListRevision(n uint64) func(*input.InstancesListed) bool {
	return func(in *input.InstancesListed) bool { return in.Position.Revision >= n }
}

func atVersion(n uint64) func(*input.RoutesConfirmed) bool {
	return func(in *input.RoutesConfirmed) bool { return in.Routing.Version == n }
}

// Guards against a reader that misses changes of instances or routes in the store.
func TestReaderFollowsStore(t *testing.T) {
	fx := newFixture(t, true)
	waitFor(fx, "the empty list", atListRevision(1))
	at := fx.putInstance("i-1", "ready")
	fx.putRouting(7)
	waitFor(fx, "the change", func(in *input.InstancesChanged) bool { return in.Position.Revision >= at && len(in.Changes) == 1 })
	fx = newFixture(t, true)
	fx.putRouting(8)
	waitFor(fx, "the routes", atVersion(8))
}

// Guards against missing the changes that the store no longer has in its history.
func TestHistoryGone(t *testing.T) {
	fx := newFixture(t, true)
	waitFor(fx, "the empty list", atListRevision(1))
	fx.store.SetFault(objs.FaultBusy)
	fx.waitEvent("store_lost")
	at := fx.putInstance("i-1", "ready")
	fx.store.Compact()
	fx.store.SetFault(objs.FaultNone)
	waitFor(fx, "a new list", atListRevision(at))
	fx.waitEvent("store_regained")
}

// Guards against an endless loop when the history is gone: a list that may be
// stale can return a revision that is itself older than the history.
func TestListAfterHistoryIsLatest(t *testing.T) {
	fx := newFixture(t, true)
	fx.waitFirstLists()
	before := fx.store.StaleLists()
	fx.store.SetFault(objs.FaultBusy)
	fx.store.PinStaleLists()
	at := fx.putInstance("i-1", "ready")
	fx.store.Compact()
	fx.store.SetFault(objs.FaultNone)
	waitFor(fx, "a list that has the change", atListRevision(at))
	if n := fx.store.StaleLists() - before; n > 0 {
		t.Errorf("%d lists allowed a stale state after the history was gone, want none", n)
	}
}

// Guards against an old configuration that stays in force because the connection
// to the store is silent but not closed. The feed must notice it within the
// deadline of 3 s.
func TestSilentStore(t *testing.T) {
	fx := newFixture(t, true)
	fx.putRouting(7)
	waitFor(fx, "the routes", atVersion(7))
	fx.store.SetFault(objs.FaultSilent)
	// Both kinds of objects are watched.
	<-fx.store.Unanswered
	<-fx.store.Unanswered
	fx.putRouting(8)
	fx.store.SetFault(objs.FaultNone)
	waitFor(fx, "the routes after the silence", atVersion(8))
}

// Guards against an old state that stays in force when the first list is some
// seconds behind, and against starts that request the costly latest state.
func TestFirstListMayBeStale(t *testing.T) {
	store := &objs.Store{}
	store.Put("config", "main", map[string]any{"version": 7})
	store.PinStaleLists()
	store.Put("config", "main", map[string]any{"version": 8})
	fx := newFixtureWithStore(t, store, true)
	waitFor(fx, "the older routes", atVersion(7))
	waitFor(fx, "the routes in force", atVersion(8))
	if n := store.StaleLists(); n != 2 {
		t.Errorf("%d lists allowed a stale state, want 2: the first of routes and of instances", n)
	}
}

// Guards against instances that are considered gone while the store doesn't
// answer.
func TestStoreUnavailabilityIsReported(t *testing.T) {
	fx := newFixture(t, true)
	waitFor(fx, "the empty list", atListRevision(1))
	fx.store.SetFault(objs.FaultReset)
	waitFor(fx, "the loss", func(in *input.StoreAvailability) bool { return in.Unavailable })
	fx.store.SetFault(objs.FaultNone)
	waitFor(fx, "the return", func(in *input.StoreAvailability) bool { return !in.Unavailable })
}

// Guards against a number of store calls that grows with the number of balancers,
// and against a balancer that relies on a reader that is silent or lags behind.
func TestReadsStoreOnlyWithoutCurrentNews(t *testing.T) {
	fx := newFixture(t, false)
	fx.setNews(&query.News{Routing: model.Routing{Position: at(5), Version: 3}, ListPosition: at(9)})
	waitFor(fx, "the reader's routes", atVersion(3))
	if n := fx.store.Calls(); n != 0 {
		t.Errorf("%d calls of the store while the reader's news are current, want none", n)
	}
	for _, c := range []struct {
		name string
		news *query.News
	}{
		{"silent reader", nil},
		{"reader without a store", &query.News{StoreUnavailable: true}},
		{"reader with old news", &query.News{ListAge: newTiming(0).maxNewsAge + time.Second}},
	} {
		t.Run(c.name, func(*testing.T) {
			fx.setNews(c.news)
			fx.waitEvent("store_reading_started")
			version := uint64(100 + fx.store.Calls())
			fx.putRouting(version)
			waitFor(fx, "the store's routes", atVersion(version))
			fx.setNews(&query.News{})
			fx.waitEvent("store_reading_stopped")
		})
	}
}

// Guards against an outage of the store in which every balancer calls it again and
// again, and against one that takes entries that vanish meanwhile for those of
// instances that have left.
func TestFollowerDuringOutage(t *testing.T) {
	fx := newFixture(t, false)
	fx.mu.Lock()
	fx.earlier = []model.Balancer{{Name: "r1"}, {Name: "r2"}, {Name: "r3"}}
	fx.mu.Unlock()
	fx.store.SetFault(objs.FaultBusy)
	fx.setNews(&query.News{StoreUnavailable: true})
	waitFor(fx, "the loss", func(in *input.StoreAvailability) bool { return in.Unavailable })
	// It tries the store once, since the store may refuse the others alone.
	fx.waitEvent("store_lost")
	fx.waitEvent("store_reading_stopped")
	waitFor(fx, "the end of its own reading", func(in *input.StoreAvailability) bool { return !in.Unavailable })
	waitFor(fx, "the loss that the others tell of", func(in *input.StoreAvailability) bool { return in.Unavailable })
	calls, rounds := fx.store.Calls(), 0
	for timeout := time.After(20 * time.Second); rounds < 9; rounds++ {
		select {
		case <-fx.asked:
		case <-timeout:
			t.Fatal("it no longer asks the others")
		}
	}
	if n := fx.store.Calls(); n != calls {
		t.Errorf("%d more calls of the store while three others call it in vain, want none", n-calls)
	}
	fx.setNews(&query.News{})
	waitFor(fx, "the return", func(in *input.StoreAvailability) bool { return !in.Unavailable })
}

// Guards against a reader that the store refuses and that passes on the news of
// another as if it had read them: the other would follow it in turn, and nobody
// would read the store until their news are old.
func TestRefusedReader(t *testing.T) {
	fx := newFixture(t, true)
	waitFor(fx, "the empty list", atListRevision(1))
	fx.store.SetFault(objs.FaultBusy)
	waitFor(fx, "the loss", func(in *input.StoreAvailability) bool { return in.Unavailable })
	fx.setNews(&query.News{Routing: model.Routing{Position: at(50), Version: 3}, ListPosition: at(90)})
	fx.mu.Lock()
	fx.later = []model.Balancer{{Name: "next"}}
	fx.mu.Unlock()
	confirmed := 0
	for timeout := time.After(20 * time.Second); confirmed < 3; {
		select {
		case in := <-fx.inputs:
			switch in := in.(type) {
			case *input.StoreAvailability:
				if !in.Unavailable {
					t.Fatal("the store counts as available while it refuses the reader")
				}
			case *input.RoutesConfirmed:
				confirmed++
			default:
			}
		case <-timeout:
			t.Fatal("no news of the next balancer")
		}
	}
	fx.store.SetFault(objs.FaultNone)
	waitFor(fx, "the return", func(in *input.StoreAvailability) bool { return !in.Unavailable })
}

// Guards against a store that is away and that all kinds of objects call at the
// same time, and against a kind that waits for another's call for ever.
func TestOneKindProbes(t *testing.T) {
	var c contact
	release := c.takeTurn(t.Context(), time.Hour)
	second := make(chan func())
	go func() { second <- c.takeTurn(t.Context(), time.Hour) }()
	select {
	case <-second:
		t.Error("two kinds call the store at the same time")
	case <-time.After(20 * time.Millisecond):
	}
	release()
	release = <-second
	c.takeTurn(t.Context(), time.Millisecond)()
	release()
	c.takeTurn(t.Context(), time.Hour)()
}

// Guards against routes that wait, after an outage of the store, until a watch of
// the instances has returned, which takes long if no instance changes, or the other
// way round.
func TestRoutesWaitForNoInstances(t *testing.T) {
	fx := newFixtureWithStore(t, &objs.Store{}, true, func(fx *fixture, f *Feed) {
		f.ChangeDeadline = time.Minute
		fx.later = []model.Balancer{{Name: "follower"}}
		// A change that a feed has yet to see would end its watch at once.
		fx.putInstance("i-1", "ready")
		fx.putRouting(1)
	})
	fx.waitFirstLists()
	fx.store.SetFault(objs.FaultBusy)
	fx.waitEvent("store_lost")
	fx.waitEvent("store_lost")
	fx.store.SetFault(objs.FaultNone)
	fx.putRouting(2)
	waitFor(fx, "the routes after the outage", atVersion(2))
	fx.waitEvent("store_regained")
	fx.waitEvent("store_regained")
}

// Guards against news and answers of the store that waited while the process did not
// run and count as fresh.
func TestNewsAgeDuringStall(t *testing.T) {
	const stalled = 4 * time.Second
	stall := func(_ *fixture, f *Feed) { f.Stalled = func(time.Time) time.Duration { return stalled } }
	t.Run("of the store", func(t *testing.T) {
		fx := newFixtureWithStore(t, &objs.Store{}, true, stall)
		fx.putRouting(1)
		waitFor(fx, "old routes", func(in *input.RoutesConfirmed) bool { return in.Age == stalled })
		waitFor(fx, "an old list", func(in *input.InstancesChanged) bool { return in.Age == stalled })
	})
	t.Run("of a balancer", func(t *testing.T) {
		fx := newFixtureWithStore(t, &objs.Store{}, false, stall)
		fx.setNews(&query.News{Routing: model.Routing{Position: at(5), Version: 3}, ListPosition: at(9), FullList: true, RoutingAge: time.Second})
		waitFor(fx, "old routes", func(in *input.RoutesConfirmed) bool { return in.Age == stalled+time.Second })
	})
}

// Guards against a balancer that starts while the store doesn't answer and drops
// all packets, although a balancer other than its reader knows the routes.
func TestStartWithoutStore(t *testing.T) {
	fx := newFixture(t, true)
	fx.store.SetFault(objs.FaultSilent)
	fx.waitEvent("store_reading_started")
	fx.setNews(&query.News{Routing: model.Routing{Position: at(5), Version: 3}, ListPosition: at(9), FullList: true})
	fx.setOthers(model.Balancer{Name: "neighbour"})
	waitFor(fx, "the neighbour's routes", atVersion(3))
	waitFor(fx, "the neighbour's list", atListRevision(9))
	fx.waitEvent("started_from_peer")
}

// Guards against a malformed configuration that counts as a store that is away,
// and against one that hides the next.
func TestMalformedRoutes(t *testing.T) {
	fx := newFixture(t, true)
	fx.putRouting(7)
	waitFor(fx, "the routes", atVersion(7))
	fx.store.Put("config", "main", map[string]any{"version": 8, "routes": []any{map[string]any{"name": "feed", "host": "not an address"}}})
	for refused := false; !refused; {
		select {
		case e := <-fx.events:
			if e.Name == "store_lost" {
				t.Fatal("the store counts as lost: " + e.Detail)
			}
			refused = e.Name == "routes_refused"
		case <-time.After(20 * time.Second):
			t.Fatal("no event routes_refused")
		}
	}
	fx.putRouting(9)
	waitFor(fx, "the corrected routes", atVersion(9))
}
