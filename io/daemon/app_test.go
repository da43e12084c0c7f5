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

// testFleet is a platform with some balancer processes.
type testFleet struct {
	t        *testing.T
	platform *plat.Server
	url      string
	log      *store.Log
	apps     map[string]*runningApp
}

type runningApp struct {
	*App
	stop context.CancelFunc
	done chan struct{}
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	p := plat.NewServer()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	f := &testFleet{t: t, platform: p, url: srv.URL, apps: make(map[string]*runningApp)}
	f.log = store.NewLog(store.NewClient(store.Options{BaseURLs: []string{srv.URL}, Name: "operator"}))
	return f
}

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a balancer; seeds are the names of running balancers.
func (f *testFleet) start(name string, seeds ...string) *runningApp {
	f.t.Helper()
	settings := config.Settings{
		Name: name, DataCentre: "dc0", Platform: []string{f.url}, FleetKey: config.NewKey([]byte("test key, not a secret")), Workers: 1,
		ClientListen: []netip.AddrPort{anyPort}, UpstreamListen: anyPort, PeerListen: anyPort, FetchListen: anyPort, AdminListen: anyPort,
	}
	for _, n := range seeds {
		b := f.apps[n].daemon.Self()
		settings.Seeds = append(settings.Seeds, config.Seed{Peer: b.Peer, Fetch: b.Fetch})
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	app, err := NewApp(settings, AppOptions{})
	if err != nil {
		f.t.Fatal(err)
	}
	b := app.daemon.Self()
	f.platform.Put(store.HostPrefix+name, fmt.Appendf(nil, `{"name":%q,"data_centre":"dc0","peer":%q,"fetch":%q}`, name, b.Peer, b.Fetch))
	r := &runningApp{App: app, stop: cancel, done: make(chan struct{})}
	f.apps[name] = r
	go func() {
		defer close(r.done)
		_ = app.Run(ctx)
	}()
	f.t.Cleanup(func() { cancel(); <-r.done })
	return r
}

func (f *testFleet) edit(id string, body rules.Body) uint64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	appended, err := f.log.Append(ctx, rules.Change{ID: id, Author: "test", Body: body})
	if err != nil {
		f.t.Fatal(err)
	}
	return appended.Change.Revision
}

// awaitRevision waits until all balancers have a revision in force. It reads
// the revision of each daemon, since events arrive after it is in force.
func (f *testFleet) awaitRevision(revision uint64) {
	f.t.Helper()
	deadline := time.After(19 * time.Second) // an edit must be in force on all balancers by then
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		behind := ""
		for name, a := range f.apps {
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
			f.t.Fatalf("balancer %s has revision %d after 19 s, want %d", behind, f.apps[behind].daemon.Revision(), revision)
		}
	}
}

// Guards against an accepted edit that does not reach every balancer: from the
// platform through the relay and gossip, or from peers alone while the platform
// is down.
func TestEditReachesAllBalancers(t *testing.T) {
	f := newTestFleet(t)
	for i := range 5 {
		f.start(fmt.Sprintf("b%d", i))
	}
	tmpl := model.Template{Name: "order_desk"}.WithClass(model.Class{Name: "orders", Port: 7001})
	t.Run("through the platform", func(*testing.T) {
		f.awaitRevision(f.edit("e1", &rules.PutTemplate{Template: tmpl}))
	})
	t.Run("a balancer that starts during an outage", func(*testing.T) {
		revision := f.apps["b0"].daemon.Revision()
		f.platform.Faults.SetDown(true)
		defer f.platform.Faults.SetDown(false)
		f.start("late", "b0", "b1")
		f.awaitRevision(revision)
	})
}

// Guards against a graceful exit that exceeds its time limit, or after which no
// balancer takes over the lease of the relay, so that later edits do not arrive.
func TestLeave(t *testing.T) {
	f := newTestFleet(t)
	f.start("b0")
	b := f.start("b1")
	f.awaitRevision(f.edit("e1", &rules.PutTemplate{Template: model.Template{Name: "order_desk"}.WithClass(model.Class{Name: "orders", Port: 7001})}))
	b.stop()
	select {
	case <-b.done:
	case <-time.After(leaveTimeout + 10*time.Second):
		t.Fatal("the balancer has not exited 10 s after its time limit")
	}
	delete(f.apps, "b1")
	f.awaitRevision(f.edit("e2", &rules.PutTemplate{Template: model.Template{Name: "plan_intake"}.WithClass(model.Class{Name: "plans", Port: 7003})}))
}
