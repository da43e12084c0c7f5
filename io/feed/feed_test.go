package feed

import (
	"context"
	"net/http/httptest"
	"net/netip"
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

// bench is a feed with a stand-in store and a stand-in reader.
type bench struct {
	t      *testing.T
	store  *objs.Store
	inputs chan input.Input
	events chan effect.Event

	mu     sync.Mutex
	reader model.Balancer
	self   bool
	// live are the other balancers that membership shows.
	live []model.Balancer
	// answer is what the reader says; nil means that it does not answer.
	answer  *query.News
	routing uint64
	list    uint64
}

func newBench(t *testing.T, self bool) *bench {
	t.Helper()
	return newBenchWith(t, &objs.Store{Unanswered: make(chan struct{}, 100)}, self)
}

// newBenchWith starts a feed of a store that may hold objects.
func newBenchWith(t *testing.T, store *objs.Store, self bool) *bench {
	t.Helper()
	b := &bench{
		t: t, store: store, self: self, reader: model.Balancer{Name: "reader"},
		inputs: make(chan input.Input, 1000), events: make(chan effect.Event, 1000),
	}
	srv := httptest.NewServer(b.store)
	f := &Feed{
		Store: platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))),
		Peers: b, Fleet: b,
		Push:  func(in input.Input) { b.inputs <- in },
		Event: func(e effect.Event) { b.events <- e },
		Call:  func(time.Duration, bool) {},
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
	return b
}

func (b *bench) Reader() (model.Balancer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reader, b.self
}

func (b *bench) Others() []model.Balancer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.live
}

func (b *bench) Revisions() (routing, list uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.routing, b.list
}

func (b *bench) CloseIdleConnections() {}

func (b *bench) WaitNews(ctx context.Context, _ netip.AddrPort, _, _ uint64, _ time.Duration) (query.News, error) {
	b.mu.Lock()
	answer := b.answer
	b.mu.Unlock()
	if answer == nil {
		<-ctx.Done()
		return query.News{}, errors.New("no answer")
	}
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Millisecond):
	}
	return *answer, nil
}

func (b *bench) answers(n *query.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = n
}

// waitFor waits for an input that fn accepts.
func waitFor[T input.Input](b *bench, what string, fn func(T) bool) {
	b.t.Helper()
	limit := time.After(20 * time.Second)
	for {
		select {
		case in := <-b.inputs:
			if one, ok := in.(T); ok && fn(one) {
				return
			}
		case <-limit:
			b.t.Fatalf("no input: %s", what)
		}
	}
}

// nextInput waits for an input of any kind.
func (b *bench) nextInput() {
	b.t.Helper()
	select {
	case <-b.inputs:
	case <-time.After(20 * time.Second):
		b.t.Fatal("no input")
	}
}

func (b *bench) waitEvent(name string) {
	b.t.Helper()
	limit := time.After(20 * time.Second)
	for {
		select {
		case e := <-b.events:
			if e.Name == name {
				return
			}
		case <-limit:
			b.t.Fatalf("no event %s", name)
		}
	}
}

func (b *bench) sees(live ...model.Balancer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = live
}

func (b *bench) put(id, state string) uint64 {
	return b.store.Put("servers", id, map[string]any{
		"service": "desk", "address": "10.0.0.1:80", "zone": "ain", "slots": 2, "state": state, "warmup_left_ms": 0, "sequence": 1,
	})
}

func (b *bench) configure(version uint64) uint64 {
	return b.store.Put("config", "main", map[string]any{"version": version})
}

func listedAt(n uint64) func(*input.InstancesListed) bool {
	return func(in *input.InstancesListed) bool { return in.Revision >= n }
}

func versionIs(n uint64) func(*input.RoutesConfirmed) bool {
	return func(in *input.RoutesConfirmed) bool { return in.Routing.Version == n }
}

func TestReaderFollowsStore(t *testing.T) {
	b := newBench(t, true)
	waitFor(b, "the empty list", listedAt(1))
	at := b.put("i-1", "ready")
	b.configure(7)
	waitFor(b, "the change", func(in *input.InstancesChanged) bool { return in.Revision >= at && len(in.Changes) == 1 })
	b = newBench(t, true)
	b.configure(8)
	waitFor(b, "the routes", versionIs(8))
}

// Guards against changes that are missed once the store has dropped its history.
func TestHistoryGone(t *testing.T) {
	b := newBench(t, true)
	waitFor(b, "the empty list", listedAt(1))
	b.store.SetFault(objs.FaultBusy)
	b.waitEvent("store_lost")
	at := b.put("i-1", "ready")
	b.store.Compact()
	b.store.SetFault(objs.FaultNone)
	waitFor(b, "a new list", listedAt(at))
	b.waitEvent("store_regained")
}

// Guards against a list after the loss of the history that is itself older than
// the history, which would repeat for ever.
func TestListAfterHistoryIsLatest(t *testing.T) {
	b := newBench(t, true)
	// Each kind pushes one input after its first list.
	b.nextInput()
	b.nextInput()
	before := b.store.StaleLists()
	b.store.SetFault(objs.FaultBusy)
	b.store.PinStaleLists()
	at := b.put("i-1", "ready")
	b.store.Compact()
	b.store.SetFault(objs.FaultNone)
	waitFor(b, "a list that has the change", listedAt(at))
	if n := b.store.StaleLists() - before; n > 0 {
		t.Errorf("%d lists allowed an older state after the loss of the history, want none", n)
	}
}

// Guards against an old configuration that stays in force behind a connection
// that has gone silent: it must be noticed within the 3 s of the bound.
func TestSilentStore(t *testing.T) {
	b := newBench(t, true)
	b.configure(7)
	waitFor(b, "the routes", versionIs(7))
	b.store.SetFault(objs.FaultSilent)
	// Both kinds of objects are watched.
	<-b.store.Unanswered
	<-b.store.Unanswered
	b.configure(8)
	b.store.SetFault(objs.FaultNone)
	waitFor(b, "the routes after the silence", versionIs(8))
}

// Guards against an old state that stays in force when the cheap first list is
// some seconds behind, and against starts that pay the full price for it.
func TestFirstListMayBeStale(t *testing.T) {
	store := &objs.Store{}
	store.Put("config", "main", map[string]any{"version": 7})
	store.PinStaleLists()
	store.Put("config", "main", map[string]any{"version": 8})
	b := newBenchWith(t, store, true)
	waitFor(b, "the older routes", versionIs(7))
	waitFor(b, "the routes in force", versionIs(8))
	if n := store.StaleLists(); n != 2 {
		t.Errorf("%d lists allowed an older state, want the first of routes and of instances", n)
	}
}

// Guards against instances that are taken for gone while the store is away.
func TestStoreAwayIsReported(t *testing.T) {
	b := newBench(t, true)
	waitFor(b, "the empty list", listedAt(1))
	b.store.SetFault(objs.FaultReset)
	waitFor(b, "the loss", func(in *input.StoreAvailability) bool { return in.Unavailable })
	b.store.SetFault(objs.FaultNone)
	waitFor(b, "the return", func(in *input.StoreAvailability) bool { return !in.Unavailable })
}

// Guards against calls that grow with the number of balancers, and against a
// balancer that trusts a reader that has gone silent or lags behind.
func TestFollowerReadsOnlyWhenItMust(t *testing.T) {
	b := newBench(t, false)
	b.answers(&query.News{Routing: model.Routing{Revision: 5, Version: 3}, ListRevision: 9})
	waitFor(b, "the reader's routes", versionIs(3))
	if n := b.store.Calls(); n != 0 {
		t.Errorf("%d calls of the store while the reader's news are current, want none", n)
	}
	for _, c := range []struct {
		name   string
		answer *query.News
	}{
		{"silent reader", nil},
		{"reader without the store", &query.News{StoreUnavailable: true}},
		{"reader with old news", &query.News{ListAge: timingOf(0).newsAge + time.Second}},
	} {
		t.Run(c.name, func(*testing.T) {
			b.answers(c.answer)
			b.waitEvent("store_reading_started")
			version := uint64(100 + b.store.Calls())
			b.configure(version)
			waitFor(b, "the store's routes", versionIs(version))
			b.answers(&query.News{})
			b.waitEvent("store_reading_stopped")
		})
	}
}

// Guards against a balancer that starts while the store is away and drops all
// packets, although a balancer other than its reader knows the routes.
func TestStartWithoutStore(t *testing.T) {
	b := newBench(t, true)
	b.store.SetFault(objs.FaultSilent)
	b.waitEvent("store_reading_started")
	b.answers(&query.News{Routing: model.Routing{Revision: 5, Version: 3}, ListRevision: 9, FullList: true})
	b.sees(model.Balancer{Name: "neighbour"})
	waitFor(b, "the neighbour's routes", versionIs(3))
	waitFor(b, "the neighbour's list", listedAt(9))
	b.waitEvent("started_from_peer")
}
