package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"time"

	"egretdock/core/effect"
	"egretdock/core/fault"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
	"egretdock/io/daemon"
	"egretdock/io/emul/plat"
	"egretdock/io/store"
)

// site is the stand-in platform of a deployment and an operator who edits
// through it.
type site struct {
	// Platform holds the configuration and the host list.
	platform *plat.Server
	http     *http.Server
	url      string
	log      *store.Log
	edits    int
}

func newSite() (*site, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, "the stand-in platform cannot listen", "check the limits of this host")
	}
	s := &site{platform: plat.NewServer(), url: "http://" + lis.Addr().String()}
	s.http = &http.Server{Handler: s.platform, ReadHeaderTimeout: 5 * time.Second}
	s.log = store.NewLog(store.NewClient(store.Options{BaseURLs: []string{s.url}, Name: "operator"}))
	go func() { _ = s.http.Serve(lis) }()
	return s, nil
}

func (s *site) close() { _ = s.http.Close() }

// apply edits the platform's configuration until it equals want, one object at
// a time, and returns the configuration accepted last.
func (s *site) apply(ctx context.Context, was, want model.Config) (model.Config, error) {
	for _, b := range changes(was, want) {
		s.edits++
		done, err := s.log.Append(ctx, rules.Change{ID: fmt.Sprintf("edit-%d", s.edits), Author: "operator", Base: was.Revision, Body: b})
		if err != nil {
			return was, err
		}
		was = done.Config
	}
	return was, nil
}

// EditResult is the result of one operator's edit.
type EditResult struct {
	// Revision is set when Err is nil.
	Revision uint64
	Err      error
}

// EditAs puts a template as an operator who has seen the configuration up to
// base.
func (f *Fleet) EditAs(ctx context.Context, operator string, base uint64, t model.Template) EditResult {
	if f.site == nil {
		return EditResult{Err: fault.New(fault.KindUnavailable, "the deployment has no platform", "run the policy egretdock")}
	}
	log := store.NewLog(store.NewClient(store.Options{BaseURLs: []string{f.site.url}, Name: operator}))
	c := rules.Change{ID: fmt.Sprintf("%s-%d-%s", operator, base, t.Name), Author: operator, Base: base, Body: &rules.PutTemplate{Template: t}}
	done, err := log.Append(ctx, c)
	if err != nil {
		return EditResult{Err: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if done.Config.Revision > f.cfg.Revision {
		f.cfg = done.Config
	}
	return EditResult{Revision: done.Change.Revision}
}

// changes returns the edits that lead from one configuration to another.
func changes(was, want model.Config) []rules.Body {
	var out []rules.Body
	for _, name := range want.TemplateNames() {
		t, _ := want.Template(name)
		if old, ok := was.Template(name); !ok || !reflect.DeepEqual(old, t) {
			out = append(out, &rules.PutTemplate{Template: t})
		}
	}
	for _, name := range want.CustomerNames() {
		p, _ := want.Params(name)
		if old, ok := was.Params(name); !ok || !reflect.DeepEqual(old, p) {
			out = append(out, &rules.PutParams{Params: p})
		}
	}
	return out
}

// putHost enters a balancer in the host list.
func (s *site) putHost(b model.Balancer) {
	value, err := json.Marshal(store.Host{Name: b.Name, DataCentre: b.DataCentre, PeerAddr: b.Peer, FetchAddr: b.Fetch})
	if err == nil {
		s.platform.Put(store.HostPrefix+b.Name, value)
	}
}

// process is a whole balancer process: data path, membership, configuration
// through the platform and from peers.
type process struct {
	*daemon.App
}

// start makes a balancer process that keeps its configuration current through
// the platform.
func (s *site) start(cfg daemon.Config) (Process, error) {
	set := config.Settings{
		Name: cfg.Self.Name, DataCentre: cfg.Self.DataCentre, Platform: []string{s.url},
		FleetKey:     config.NewKey(cfg.Key),
		ClientListen: []netip.AddrPort{cfg.Clients}, UpstreamListen: cfg.Upstreams, PeerListen: cfg.Peers,
		FetchListen: cfg.Peers, AdminListen: cfg.Peers, Workers: 1,
	}
	app, err := daemon.NewApp(set, daemon.AppOptions{Events: func(e *effect.Event) { cfg.Events(e) }, AcceptPeer: cfg.AcceptPeer})
	if err != nil {
		return nil, err
	}
	return process{app}, nil
}

// Self implements Process.
func (p process) Self() model.Balancer { return p.Daemon().Self() }

// Revision implements Process.
func (p process) Revision() uint64 { return p.Daemon().Revision() }

// Run implements Process.
func (p process) Run(ctx context.Context, inputs <-chan input.Input) error {
	return p.Serve(ctx, inputs)
}
