package daemon

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
	"egretdock/io/emul/plat"
	"egretdock/io/store"
)

// site is a platform with some balancer processes.
type site struct {
	t        *testing.T
	platform *plat.Server
	url      string
	log      *store.Log
	apps     map[string]*running
}

type running struct {
	*App
	stop context.CancelFunc
	done chan struct{}
}

func newSite(t *testing.T) *site {
	t.Helper()
	p := plat.NewServer()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	s := &site{t: t, platform: p, url: srv.URL, apps: make(map[string]*running)}
	s.log = store.NewLog(store.NewClient(store.Options{BaseURLs: []string{srv.URL}, Name: "operator"}))
	return s
}

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a balancer; seeds are balancers that are running.
func (s *site) start(name string, seeds ...string) *running {
	s.t.Helper()
	set := config.Settings{
		Name: name, DataCentre: "dc0", Platform: []string{s.url}, FleetKey: config.NewKey([]byte("test key, not a secret")), Workers: 1,
		ClientListen: []netip.AddrPort{anyPort}, UpstreamListen: anyPort, PeerListen: anyPort, FetchListen: anyPort, AdminListen: anyPort,
	}
	for _, n := range seeds {
		b := s.apps[n].daemon.Self()
		set.Seeds = append(set.Seeds, config.Seed{Peer: b.Peer, Fetch: b.Fetch})
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	app, err := NewApp(set, AppOptions{})
	if err != nil {
		s.t.Fatal(err)
	}
	b := app.daemon.Self()
	s.platform.Put(store.HostPrefix+name, fmt.Appendf(nil, `{"name":%q,"data_centre":"dc0","peer":%q,"fetch":%q}`, name, b.Peer, b.Fetch))
	r := &running{App: app, stop: cancel, done: make(chan struct{})}
	s.apps[name] = r
	go func() {
		defer close(r.done)
		_ = app.Run(ctx)
	}()
	s.t.Cleanup(func() { cancel(); <-r.done })
	return r
}

func (s *site) edit(id string, body rules.Body) uint64 {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer cancel()
	done, err := s.log.Append(ctx, rules.Change{ID: id, Author: "test", Body: body})
	if err != nil {
		s.t.Fatal(err)
	}
	return done.Change.Revision
}

// await waits until all balancers have a revision in force. It waits on the
// admin side's data, since revisions are in force before any event is read.
func (s *site) await(revision uint64) {
	s.t.Helper()
	deadline := time.After(19 * time.Second) // an edit must be in force everywhere by then
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		behind := ""
		for name, a := range s.apps {
			if a.daemon.Revision() < revision {
				behind = name
			}
		}
		if behind == "" {
			return
		}
		select {
		case <-t.C:
		case <-deadline:
			s.t.Fatalf("balancer %s has revision %d after 19 s, want %d", behind, s.apps[behind].daemon.Revision(), revision)
		}
	}
}

// Guards against processes whose parts work alone but do not spread an accepted
// edit: from the platform through the relay and gossip to every balancer, and
// from peers alone while the platform is down.
func TestEditReachesAllBalancers(t *testing.T) {
	s := newSite(t)
	for i := range 5 {
		s.start(fmt.Sprintf("b%d", i))
	}
	tmpl := model.Template{Name: "order_desk"}.WithClass(model.Class{Name: "orders", Port: 7001})
	t.Run("through the platform", func(*testing.T) {
		s.await(s.edit("e1", &rules.PutTemplate{Template: tmpl}))
	})
	t.Run("a balancer that starts during an outage", func(*testing.T) {
		revision := s.apps["b0"].daemon.Revision()
		s.platform.Faults.SetDown(true)
		defer s.platform.Faults.SetDown(false)
		s.start("late", "b0", "b1")
		s.await(revision)
	})
}

// Guards against a graceful exit that outlasts its bound or loses the lease of
// the platform's watch.
func TestLeave(t *testing.T) {
	s := newSite(t)
	s.start("b0")
	b := s.start("b1")
	s.await(s.edit("e1", &rules.PutTemplate{Template: model.Template{Name: "order_desk"}.WithClass(model.Class{Name: "orders", Port: 7001})}))
	b.stop()
	select {
	case <-b.done:
	case <-time.After(leaveLimit + 10*time.Second):
		t.Fatal("the balancer has not exited within its bound")
	}
	delete(s.apps, "b1")
	s.await(s.edit("e2", &rules.PutTemplate{Template: model.Template{Name: "plan_intake"}.WithClass(model.Class{Name: "plans", Port: 7003})}))
}
