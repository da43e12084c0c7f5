package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
	"egretdock/io/emul/plat"
	"egretdock/io/peers"
	"egretdock/io/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clock stands still until a test moves it.
type clock struct {
	mu    sync.Mutex
	cond  *sync.Cond
	now   time.Time
	waits map[chan time.Time]time.Time
}

func newClock() *clock {
	c := &clock{now: time.Unix(1e9, 0), waits: map[chan time.Time]time.Time{}}
	c.cond = sync.NewCond(&c.mu)
	return c
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	c.waits[ch] = c.now.Add(d)
	c.cond.Broadcast()
	return ch
}

// advance waits until somebody waits, then moves the time.
func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle()
	c.now = c.now.Add(d)
	for ch, at := range c.waits {
		if !at.After(c.now) {
			ch <- c.now
			delete(c.waits, ch)
		}
	}
}

func (c *clock) idle() {
	for len(c.waits) == 0 {
		c.cond.Wait()
	}
}

// settle waits until somebody waits.
func (c *clock) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle()
}

// fleet is a view of the data centre that a test sets.
type fleet struct {
	rank  int
	acked map[string]uint64
}

func (f fleet) Acked() map[string]uint64 { return f.acked }
func (f fleet) Rank() int                { return f.rank }

// sources are peers that a test sets, by address.
type sources map[netip.AddrPort]peers.ConfigSource

func (s sources) Fetch(_ context.Context, addr netip.AddrPort, after uint64) (peers.Update, error) {
	if src, ok := s[addr]; ok {
		return src.Since(after), nil
	}
	return nil, errors.New("no such peer")
}

func peer(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1)
}

// site is a platform with balancers.
type site struct {
	t    *testing.T
	plat *plat.Server
	url  string
	log  *store.Log
}

func newSite(t *testing.T) *site {
	s := &site{t: t, plat: plat.NewServer()}
	srv := httptest.NewServer(s.plat)
	t.Cleanup(srv.Close)
	s.url = srv.URL
	s.log = s.client("operator")
	return s
}

func (s *site) client(name string) *store.Log {
	return store.NewLog(store.NewClient(store.Options{BaseURLs: []string{s.url}, Name: name, Seed: 1}))
}

func template(weight uint8) *rules.PutTemplate {
	return &rules.PutTemplate{Template: model.Template{Name: "desk"}.WithClass(model.Class{Name: "orders", Port: 100, Priority: weight})}
}

// edit accepts n edits.
func (s *site) edit(n int) uint64 {
	s.t.Helper()
	var rev uint64
	for range n {
		t, err := s.log.Load(s.t.Context())
		if err != nil {
			s.t.Fatal(err)
		}
		rev = t.Config.Revision + 1
		_, err = s.log.Append(s.t.Context(), rules.Change{ID: fmt.Sprint("e", rev), Base: rev, Body: template(uint8(rev))})
		if err != nil {
			s.t.Fatal(err)
		}
	}
	return rev
}

// balancer is a running relay with what it delivered and reported.
type balancer struct {
	*Syncer
	t       *testing.T
	clock   *clock
	keeper  *ActiveConfig
	configs chan model.Config
	events  chan string
	last    uint64
}

func (s *site) start(name string, f Membership, p Peers, seeds ...netip.AddrPort) *balancer {
	b := &balancer{t: s.t, clock: newClock(), configs: make(chan model.Config, 100), events: make(chan string, 1000)}
	b.keeper = NewActiveConfig(func(c model.Config) { b.configs <- c })
	b.Syncer = New(Options{
		Self: model.Balancer{Name: name, DataCentre: "east", Incarnation: 1}, Log: s.client(name),
		Peers: p, Membership: f, Active: b.keeper, Clock: b.clock, Seeds: seeds, Seed: 1,
		Event: func(e string, pairs ...any) { b.events <- e + " " + fmt.Sprint(pairs...) },
	})
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	go func() { b.Run(ctx); close(done) }()
	s.t.Cleanup(func() { cancel(); <-done })
	return b
}

// reaches waits for a revision and asserts that none goes back on the way.
func (b *balancer) reaches(rev uint64) {
	b.t.Helper()
	for b.last < rev {
		c := <-b.configs
		if c.Revision <= b.last {
			b.t.Fatalf("revision %d delivered after %d", c.Revision, b.last)
		}
		b.last = c.Revision
	}
}

// reports waits for an event.
func (b *balancer) reports(prefix string) string {
	for e := range b.events {
		if strings.HasPrefix(e, prefix) {
			return e
		}
	}
	return ""
}

// Guards against a configuration that goes back because a watch, a peer or a
// snapshot is late.
func TestNeverReverts(t *testing.T) {
	s := newSite(t)
	s.edit(3)
	old, err := s.log.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	stale := NewActiveConfig(func(model.Config) {})
	if err := stale.Apply(&peers.Snapshot{Config: old.Config}); err != nil {
		t.Fatal(err)
	}
	b := s.start("b1", fleet{}, sources{peer(1): stale})
	b.reports("relay_started")
	s.plat.Faults.SetWatchLag(20 * time.Millisecond)
	b.reaches(s.edit(3))
	s.plat.Faults.SetWatchLag(0)
	t.Run("late updates", func(t *testing.T) {
		for _, u := range []peers.Update{&peers.Snapshot{Config: old.Config}, &peers.Changes{List: old.Changes}} {
			if err := b.keeper.Apply(u); err != nil || b.keeper.Config().Revision != 6 {
				t.Errorf("%T: revision %d, %v", u, b.keeper.Config().Revision, err)
			}
		}
	})
	t.Run("stale peer", func(*testing.T) {
		b.ObservePeerRevision(peer(1), 9)
		b.reaches(s.edit(1))
	})
	t.Run("gap", func(t *testing.T) {
		err := b.keeper.Apply(&peers.Changes{List: []rules.Change{{Revision: 9, Body: template(1)}}})
		if err == nil || b.keeper.Config().Revision != 7 {
			t.Errorf("revision %d, %v", b.keeper.Config().Revision, err)
		}
	})
	if len(b.configs) > 0 {
		t.Errorf("revision %d delivered after %d", (<-b.configs).Revision, b.last)
	}
}

// Guards against an edit whose back-out leaves it in force on a balancer, and
// against a new balancer that gets another state than the others.
func TestBackOutEverywhere(t *testing.T) {
	s := newSite(t)
	s.edit(2)
	b := s.start("b1", fleet{}, nil)
	b.reaches(2)
	o := model.Object{Kind: model.ObjectTemplate, Name: "desk"}
	if _, err := s.log.Append(t.Context(), rules.Change{ID: "undo", Body: &rules.BackOut{Undo: 2, Object: o}}); err != nil {
		t.Fatal(err)
	}
	b.reaches(3)
	fresh := s.start("b2", fleet{rank: 9}, nil)
	fresh.reaches(3)
	for _, k := range []*ActiveConfig{b.keeper, fresh.keeper} {
		if d, _ := k.Config().Template("desk"); d.Classes[0].Priority != 1 {
			t.Errorf("priority %d in force after the back-out", d.Classes[0].Priority)
		}
	}
}

// Guards against two relays that both write after one was paused past its
// lease, and against a lease that is taken from a live holder.
func TestLeaseLapse(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("old holder cut off %v", cut), func(t *testing.T) {
			s := newSite(t)
			s.edit(1)
			a := s.start("a", fleet{acked: map[string]uint64{"a": 1}}, nil)
			a.reports("relay_started")
			a.clock.settle()
			b := s.start("b", fleet{acked: map[string]uint64{"a": 1, "b": 1}}, nil)
			for range 3 {
				b.clock.advance(renewEvery)
			}
			b.clock.settle()
			if b.FencingToken() != 0 {
				t.Fatal("the lease was taken before it lapsed")
			}
			b.clock.advance(renewEvery)
			b.reports("relay_started")
			b.clock.settle()
			s.plat.Faults.Cut("a", cut)
			a.clock.advance(2 * leaseTTL)
			a.reports("relay_stopped")
			a.clock.settle()
			st, err := s.log.Statuses(t.Context())
			if a.FencingToken() != 0 || b.FencingToken() != 2 || st["east"].FencingToken != 2 || st["east"].Relay != "b#1" {
				t.Errorf("fencing %d and %d, status %+v, %v", a.FencingToken(), b.FencingToken(), st["east"], err)
			}
		})
	}
}

// Guards against a data centre without a relay until the lease lapses after its
// holder left.
func TestResign(t *testing.T) {
	s := newSite(t)
	s.edit(1)
	a := s.start("a", fleet{acked: map[string]uint64{"a": 1}}, nil)
	a.reports("relay_started")
	a.clock.settle()
	b := s.start("b", fleet{acked: map[string]uint64{"a": 1, "b": 1}}, nil)
	b.clock.settle()
	a.Resign()
	a.clock.advance(renewEvery)
	a.reports("relay_stopped")
	b.clock.advance(renewEvery)
	b.reports("relay_started")
	if b.FencingToken() != 2 {
		t.Errorf("fencing %d, want 2", b.FencingToken())
	}
}

// Guards against a fleet that can't restart while the platform is down, and
// against a start from a peer that is behind.
func TestStartFromPeers(t *testing.T) {
	s := newSite(t)
	key := config.NewKey([]byte("a secret of the fleet"))
	var seeds []netip.AddrPort
	for _, rev := range []int{2, 3} {
		s.edit(rev)
		tail, err := s.log.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		k := NewActiveConfig(func(model.Config) {})
		if err := k.Apply(&peers.Snapshot{Config: tail.Config}); err != nil {
			t.Fatal(err)
		}
		_, h := peers.NewConfigHandler(k, key, time.Now)
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		seeds = append(seeds, netip.MustParseAddrPort(srv.Listener.Addr().String()))
	}
	s.plat.Faults.SetDown(true)
	b := s.start("b1", fleet{}, peers.NewClient(key, time.Now), seeds...)
	b.reaches(5)
	t.Run("another fleet key", func(t *testing.T) {
		_, err := peers.NewClient(config.NewKey([]byte("the secret of others")), time.Now).Fetch(t.Context(), seeds[1], 0)
		if fault.KindOf(err) != fault.KindUnauthentic {
			t.Errorf("got %v", err)
		}
	})
	t.Run("recorded call", func(t *testing.T) {
		late := func() time.Time { return time.Now().Add(-2 * time.Minute) }
		_, err := peers.NewClient(key, late).Fetch(t.Context(), seeds[1], 0)
		if fault.KindOf(err) != fault.KindUnauthentic {
			t.Errorf("got %v", err)
		}
	})
	t.Run("platform returns", func(*testing.T) {
		s.plat.Faults.SetDown(false)
		rev := s.edit(1)
		b.clock.advance(renewEvery)
		b.reports("relay_started")
		b.reaches(rev)
	})
}

// Guards against load on the platform that grows with the fleet, and against
// balancers that miss an edit because only one of them watches.
func TestPeersFollow(t *testing.T) {
	s := newSite(t)
	s.edit(1)
	lead := s.start("b0", fleet{}, nil)
	lead.reports("relay_started")
	var others []*balancer
	for i := range 5 {
		b := s.start(fmt.Sprint("b", i+1), fleet{rank: contenders + i}, sources{peer(1): lead.keeper})
		b.reaches(1)
		b.clock.settle()
		others = append(others, b)
	}
	calls := s.plat.Calls()
	for _, b := range others {
		b.clock.advance(renewEvery)
		b.clock.settle()
	}
	if got := s.plat.Calls(); got["get"] != calls["get"] || got["put"] != calls["put"] {
		t.Errorf("balancers that are not contenders called the platform: %v, before %v", got, calls)
	}
	rev := s.edit(2)
	lead.reaches(rev)
	for _, b := range others {
		b.ObservePeerRevision(peer(9), rev+1)
		b.ObservePeerRevision(peer(1), rev)
		b.reaches(rev)
		if u, ok := b.keeper.Since(1).(*peers.Changes); !ok || len(u.List) != 2 {
			t.Errorf("a lagging peer gets %T instead of 2 changes", u)
		}
	}
}

// Guards against a log that grows without bound or a start that reads all of
// it.
func TestSnapshots(t *testing.T) {
	s := newSite(t)
	rev := s.edit(snapshotEvery + 1)
	b := s.start("b1", fleet{}, nil)
	b.reports("relay_started")
	b.clock.advance(renewEvery)
	b.clock.settle()
	before := s.plat.Calls()["get"]
	s.start("b2", fleet{rank: 9}, nil).reaches(rev)
	if n := s.plat.Calls()["get"] - before; n > 4 {
		t.Errorf("%d reads to start after a snapshot", n)
	}
}

// Guards against a relay that stays at an old revision after a partition.
func TestPartitionHeals(t *testing.T) {
	s := newSite(t)
	s.edit(1)
	b := s.start("b1", fleet{}, nil)
	b.reports("relay_started")
	b.reaches(1)
	s.plat.Faults.Cut("b1", true)
	b.reports("platform_failed")
	rev := s.edit(1)
	s.plat.Faults.Cut("b1", false)
	for b.keeper.Config().Revision < rev {
		b.clock.advance(retryEvery)
	}
	b.reaches(rev)
}
