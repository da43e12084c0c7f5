// Package fleet runs a whole deployment in one process on loopback: balancers,
// stand-in upstreams and clients. Balancers are real daemons.
package fleet

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/io/daemon"
	"egretdock/io/emul/upstr"
)

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// Fleet is a running deployment.
type Fleet struct {
	// Journal records what the upstreams ran.
	Journal upstr.Journal

	ctx    context.Context
	cancel context.CancelFunc
	key    []byte

	mu        sync.Mutex
	balancers map[string]*balancer
	upstreams map[string]*upstr.Server
	cfg       model.Config
	events    func(string, *effect.Event)
	// changed is closed and replaced when a balancer's configuration changes.
	changed chan struct{}
}

type balancer struct {
	*daemon.Daemon
	inputs chan input.Input
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns an empty deployment; Close stops it. events receives the events
// of all balancers and may be nil.
func New(ctx context.Context, events func(balancer string, e *effect.Event)) *Fleet {
	f := &Fleet{
		key:       []byte("loopback fleet key, not a secret"),
		balancers: make(map[string]*balancer),
		upstreams: make(map[string]*upstr.Server),
		events:    events,
		changed:   make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	return f
}

// Close stops everything and waits.
func (f *Fleet) Close() {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.balancers {
		<-b.done
	}
	for _, u := range f.upstreams {
		u.Close()
	}
}

// AddBalancer starts a balancer and tells all of it.
func (f *Fleet) AddBalancer(name, dataCentre string) error {
	d, err := daemon.New(daemon.Config{
		Self:    model.Balancer{Name: name, DataCentre: dataCentre, Incarnation: uint64(time.Now().UnixNano())},
		Clients: loopback, Upstreams: loopback, Peers: loopback,
		Key:    f.key,
		Events: func(e *effect.Event) { f.event(name, e) },
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	b := &balancer{Daemon: d, inputs: make(chan input.Input), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(b.done)
		_ = d.Run(ctx, b.inputs)
	}()
	f.mu.Lock()
	f.balancers[name] = b
	cfg := f.cfg
	f.mu.Unlock()
	f.announce()
	f.push(b, &input.Configured{Config: cfg})
	return nil
}

func (f *Fleet) event(balancer string, e *effect.Event) {
	if f.events != nil {
		f.events(balancer, e)
	}
	if e.Name == "config_in_force" {
		f.mu.Lock()
		defer f.mu.Unlock()
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// AwaitRevision waits until all live balancers have the revision in force.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) error {
	for {
		f.mu.Lock()
		changed, ready := f.changed, true
		for _, b := range f.balancers {
			ready = ready && b.Revision() >= revision
		}
		f.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// KillBalancer stops a balancer without notice.
func (f *Fleet) KillBalancer(name string) {
	f.mu.Lock()
	b := f.balancers[name]
	delete(f.balancers, name)
	f.mu.Unlock()
	if b == nil {
		return
	}
	b.cancel()
	<-b.done
	f.announce()
}

// announce gives all balancers the list of hosts.
func (f *Fleet) announce() {
	var hosts []model.Balancer
	bs := f.list()
	for _, b := range bs {
		hosts = append(hosts, b.Self())
	}
	for _, b := range bs {
		f.push(b, &input.Hosts{Balancers: hosts})
	}
}

func (f *Fleet) list() []*balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*balancer, 0, len(f.balancers))
	for _, b := range f.balancers {
		out = append(out, b)
	}
	return out
}

func (f *Fleet) push(b *balancer, in input.Input) {
	select {
	case b.inputs <- in:
	case <-b.done:
	}
}

// Entry returns the client-facing addresses of the live balancers.
func (f *Fleet) Entry() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range f.list() {
		out = append(out, b.ClientAddr())
	}
	return out
}

// AddUpstream starts a stand-in upstream and returns how to reach it.
func (f *Fleet) AddUpstream(dataCentre string, cfg upstr.Config) (model.Upstream, error) {
	cfg.Listen, cfg.Health, cfg.Journal = loopback, loopback, &f.Journal
	s, err := upstr.Start(cfg)
	if err != nil {
		return model.Upstream{}, err
	}
	f.mu.Lock()
	f.upstreams[cfg.Name] = s
	f.mu.Unlock()
	return model.Upstream{Name: cfg.Name, DataCentre: dataCentre, Endpoint: s.Endpoint(), Health: s.Health()}, nil
}

// Upstream returns a running stand-in, or nil.
func (f *Fleet) Upstream(name string) *upstr.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[name]
}

// Configure puts a configuration in force on all balancers.
func (f *Fleet) Configure(cfg model.Config) {
	f.mu.Lock()
	f.cfg = cfg
	f.mu.Unlock()
	for _, b := range f.list() {
		f.push(b, &input.Configured{Config: cfg})
	}
}
