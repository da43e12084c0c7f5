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

// platform is the stand-in platform of a deployment, with a client that edits
// the configuration as an operator.
type platform struct {
	// server holds the configuration and the host list.
	server *plat.Server
	http   *http.Server
	url    string
	// log is the operator's client; edits counts the changes it appended.
	log   *store.Log
	edits int
}

func newPlatform() (*platform, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, "the stand-in platform cannot listen", "check the limits of this host")
	}
	p := &platform{server: plat.NewServer(), url: "http://" + lis.Addr().String()}
	p.http = &http.Server{Handler: p.server, ReadHeaderTimeout: 5 * time.Second}
	p.log = store.NewLog(store.NewClient(store.Options{BaseURLs: []string{p.url}, Name: "operator"}))
	go func() { _ = p.http.Serve(lis) }()
	return p, nil
}

func (p *platform) close() { _ = p.http.Close() }

// apply writes the templates and parameters of want that differ from current,
// one at a time, and returns the configuration that the platform accepted last.
func (p *platform) apply(ctx context.Context, current, want model.Config) (model.Config, error) {
	for _, body := range changes(current, want) {
		p.edits++
		done, err := p.log.Append(ctx, rules.Change{ID: fmt.Sprintf("edit-%d", p.edits), Author: "operator", Base: current.Revision, Body: body})
		if err != nil {
			return current, err
		}
		current = done.Config
	}
	return current, nil
}

// EditResult is the result of one operator's edit.
type EditResult struct {
	// Revision is set when Err is nil.
	Revision uint64
	Err      error
}

// EditAs writes a template as an operator whose edit is based on revision base.
func (f *Fleet) EditAs(ctx context.Context, operator string, base uint64, t model.Template) EditResult {
	if f.platform == nil {
		return EditResult{Err: fault.New(fault.KindUnavailable, "the deployment has no platform", "run the policy egretdock")}
	}
	log := store.NewLog(store.NewClient(store.Options{BaseURLs: []string{f.platform.url}, Name: operator}))
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

// changes returns the edits that bring the templates and parameters of current
// to those of want. It deletes nothing.
func changes(current, want model.Config) []rules.Body {
	var out []rules.Body
	for _, name := range want.TemplateNames() {
		t, _ := want.Template(name)
		if old, ok := current.Template(name); !ok || !reflect.DeepEqual(old, t) {
			out = append(out, &rules.PutTemplate{Template: t})
		}
	}
	for _, name := range want.CustomerNames() {
		params, _ := want.Params(name)
		if old, ok := current.Params(name); !ok || !reflect.DeepEqual(old, params) {
			out = append(out, &rules.PutParams{Params: params})
		}
	}
	return out
}

// putHost adds a balancer to the host list.
func (p *platform) putHost(b model.Balancer) {
	value, err := json.Marshal(store.Host{Name: b.Name, DataCentre: b.DataCentre, PeerAddr: b.Peer, FetchAddr: b.Fetch})
	if err == nil {
		p.server.Put(store.HostPrefix+b.Name, value)
	}
}

// process is a complete balancer daemon: data path, membership, and
// configuration from the platform and from peers.
type process struct {
	*daemon.App
}

// start creates a balancer that gets its configuration from the platform.
func (p *platform) start(cfg daemon.Config) (Process, error) {
	set := config.Settings{
		Name: cfg.Self.Name, DataCentre: cfg.Self.DataCentre, Platform: []string{p.url},
		FleetKey:     config.NewKey(cfg.Key),
		ClientListen: []netip.AddrPort{cfg.ClientListen}, UpstreamListen: cfg.UpstreamListen, PeerListen: cfg.PeerListen,
		FetchListen: cfg.PeerListen, AdminListen: cfg.PeerListen, Workers: 1,
	}
	app, err := daemon.NewApp(set, daemon.AppOptions{OnEvent: func(e *effect.Event) { cfg.OnEvent(e) }, AcceptPeer: cfg.AcceptPeer})
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
	return p.RunWithoutLeave(ctx, inputs)
}
