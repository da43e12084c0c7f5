// Package fleet runs a whole deployment in one process on loopback: balancers,
// simulated upstreams and clients. Balancers are real daemons.
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

// Process is one running balancer.
type Process interface {
	Self() model.Balancer
	// ClientAddr is where clients send datagrams.
	ClientAddr() netip.AddrPort
	// Revision is that of the configuration in force.
	Revision() uint64
	// Run serves until ctx is cancelled.
	Run(ctx context.Context, inputs <-chan input.Input) error
}

// Options change a deployment. The zero value selects real daemons.
type Options struct {
	// Start makes a balancer; nil makes a whole process that gets its
	// configuration through a stand-in platform.
	Start func(daemon.Config) (Process, error)
	// Events receives the events of all balancers; may be nil.
	Events func(balancer string, e *effect.Event)
}

// Fleet is a running deployment. No lock is held while another is taken.
type Fleet struct {
	// Journal records what the upstreams ran.
	Journal upstr.Journal

	ctx    context.Context
	cancel context.CancelFunc
	key    []byte
	opts   Options
	net    network
	// site is nil when Options.Start is set.
	site *site

	mu        sync.Mutex
	balancers map[string]*balancer
	upstreams map[string]*upstr.Server
	cfg       model.Config
	// changed is closed and replaced when the configuration or the members of a
	// balancer change.
	changed chan struct{}
}

type balancer struct {
	Process
	dataCentre string
	inputs     chan input.Input
	cancel     context.CancelFunc
	done       chan struct{}
}

// New returns an empty deployment; Close stops it.
func New(ctx context.Context, opts Options) (*Fleet, error) {
	var s *site
	if opts.Start == nil {
		var err error
		if s, err = newSite(); err != nil {
			return nil, err
		}
		opts.Start = s.start
	}
	if opts.Events == nil {
		opts.Events = func(string, *effect.Event) {}
	}
	f := &Fleet{
		key:       []byte("loopback fleet key, not a secret"),
		opts:      opts,
		site:      s,
		balancers: make(map[string]*balancer),
		upstreams: make(map[string]*upstr.Server),
		changed:   make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	return f, nil
}

// Close stops everything and waits.
func (f *Fleet) Close() {
	f.cancel()
	for _, b := range f.list() {
		<-b.done
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.Close()
	}
	if f.site != nil {
		f.site.close()
	}
}

// AddBalancer starts a balancer and tells all of it.
func (f *Fleet) AddBalancer(name, dataCentre string) error {
	bind := netip.AddrPortFrom(f.net.address(dataCentre), 0)
	p, err := f.opts.Start(daemon.Config{
		Self:         model.Balancer{Name: name, DataCentre: dataCentre, Incarnation: uint64(time.Now().UnixNano())},
		ClientListen: bind, UpstreamListen: bind, PeerListen: bind,
		Key:        f.key,
		OnEvent:    func(e *effect.Event) { f.event(name, e) },
		AcceptPeer: func(peer netip.Addr) bool { return !f.net.isCut(bind.Addr(), peer) },
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	b := &balancer{Process: p, dataCentre: dataCentre, inputs: make(chan input.Input), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(b.done)
		_ = p.Run(ctx, b.inputs)
	}()
	f.mu.Lock()
	f.balancers[name] = b
	cfg := f.cfg
	f.mu.Unlock()
	if f.site == nil {
		f.push(b, &input.ConfigReceived{Config: cfg})
	} else {
		f.site.putHost(p.Self())
	}
	f.Announce()
	return nil
}

func (f *Fleet) event(balancer string, e *effect.Event) {
	f.opts.Events(balancer, e)
	switch e.Name {
	case "config_in_force", "member_joined", "member_left":
		f.mu.Lock()
		defer f.mu.Unlock()
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// KillBalancer stops a balancer without notice; the others learn of it by
// themselves or from Announce.
func (f *Fleet) KillBalancer(name string) {
	if b := f.take(name); b != nil {
		b.cancel()
		<-b.done
	}
}

// exitBound ends a balancer that still has work in progress. No request of the
// examples lasts longer.
const exitBound = 5 * time.Second

// RetireBalancer asks a balancer to leave and takes it off the list of hosts.
// The returned function waits until it has ended.
func (f *Fleet) RetireBalancer(name string) (wait func()) {
	b := f.take(name)
	if b == nil {
		return func() {}
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		if p, ok := b.Process.(interface{ Daemon() *daemon.Daemon }); ok {
			p.Daemon().Leave(exitBound)
			return
		}
		f.push(b, &input.Leave{})
	}()
	f.Announce()
	return func() {
		<-left
		b.cancel()
		<-b.done
	}
}

// take removes a balancer from the deployment without stopping it.
func (f *Fleet) take(name string) *balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.balancers[name]
	delete(f.balancers, name)
	return b
}

// Announce gives all balancers the list of the hosts that they reach, as the
// platform's host list would.
func (f *Fleet) Announce() {
	bs := f.list()
	for _, b := range bs {
		var hosts []model.Balancer
		for _, o := range bs {
			if f.net.isAway(o.dataCentre) == f.net.isAway(b.dataCentre) {
				hosts = append(hosts, o.Self())
			}
		}
		f.push(b, &input.Hosts{Balancers: hosts})
	}
}

func (f *Fleet) push(b *balancer, in input.Input) {
	select {
	case b.inputs <- in:
	case <-b.done:
	}
}

// AddUpstream starts a stand-in upstream and returns how to reach it.
func (f *Fleet) AddUpstream(dataCentre string, cfg upstr.Config) (model.Upstream, error) {
	ip := f.net.address(dataCentre)
	cfg.Listen, cfg.Health, cfg.Journal = netip.AddrPortFrom(ip, 0), netip.AddrPortFrom(ip, 0), &f.Journal
	cfg.Cut = func(balancer netip.Addr) bool { return f.net.isCut(ip, balancer) }
	s, err := upstr.Start(cfg)
	if err != nil {
		return model.Upstream{}, err
	}
	f.mu.Lock()
	f.upstreams[cfg.Name] = s
	f.mu.Unlock()
	return model.Upstream{Name: cfg.Name, DataCentre: dataCentre, Endpoint: s.Endpoint(), Health: s.Health()}, nil
}

// Configure edits the configuration until it equals cfg and returns the last
// revision. With a platform, balancers get it on their own; without, those that
// are not cut off get it here and the others from Heal.
func (f *Fleet) Configure(ctx context.Context, cfg model.Config) (uint64, error) {
	if f.site != nil {
		var err error
		if cfg, err = f.site.apply(ctx, f.Config(), cfg); err != nil {
			return 0, err
		}
	}
	f.mu.Lock()
	f.cfg = cfg
	f.mu.Unlock()
	if f.site != nil {
		return cfg.Revision, nil
	}
	for _, b := range f.list() {
		if !f.net.isAway(b.dataCentre) {
			f.push(b, &input.ConfigReceived{Config: cfg})
		}
	}
	return cfg.Revision, nil
}

// Outage makes the platform answer nothing, or ends that.
func (f *Fleet) Outage(on bool) {
	if f.site != nil {
		f.site.platform.Faults.SetDown(on)
	}
}

// Partition cuts data centres off from the others and from the platform.
// Packets between processes of the two sides are dropped, and the host list of
// each side lacks the other. Polls of health endpoints still pass, since their
// source address does not tell the data centre of the caller.
func (f *Fleet) Partition(dataCentres ...string) {
	f.net.cut(dataCentres)
	f.cutPlatform()
	f.Announce()
}

// cutPlatform lets only one side of a partition reach the platform.
func (f *Fleet) cutPlatform() {
	if f.site == nil {
		return
	}
	for _, b := range f.list() {
		f.site.platform.Faults.Cut(b.Self().Name, f.net.isAway(b.dataCentre))
	}
}

// Heal ends a partition.
func (f *Fleet) Heal() {
	f.net.cut(nil)
	f.cutPlatform()
	f.Announce()
	if f.site != nil {
		return
	}
	cfg := f.Config()
	for _, b := range f.list() {
		f.push(b, &input.ConfigReceived{Config: cfg})
	}
}
