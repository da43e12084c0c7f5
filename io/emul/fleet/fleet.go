// Package fleet runs a whole deployment in one process on loopback: balancers,
// stand-in upstreams and a stand-in platform. The balancers are real daemons
// unless Options.Start replaces them.
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
	// Revision is the revision of the configuration in force.
	Revision() uint64
	// Run serves until ctx is cancelled.
	Run(ctx context.Context, inputs <-chan input.Input) error
}

// Options configure a deployment. The zero value runs real daemons.
type Options struct {
	// Start creates a balancer. If nil, each balancer is a complete daemon that
	// gets its configuration from a stand-in platform.
	Start func(daemon.Config) (Process, error)
	// Events receives the events of all balancers; may be nil.
	Events func(balancer string, e *effect.Event)
}

// Fleet is a running deployment. No lock is held while another is taken.
type Fleet struct {
	// Journal records the requests and flows that the upstreams served.
	Journal upstr.Journal

	ctx    context.Context
	cancel context.CancelFunc
	key    []byte
	opts   Options
	net    network
	// platform is nil when Options.Start is set.
	platform *platform

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
	var p *platform
	if opts.Start == nil {
		var err error
		if p, err = newPlatform(); err != nil {
			return nil, err
		}
		opts.Start = p.start
	}
	if opts.Events == nil {
		opts.Events = func(string, *effect.Event) {}
	}
	f := &Fleet{
		key:       []byte("loopback fleet key, not a secret"),
		opts:      opts,
		platform:  p,
		balancers: make(map[string]*balancer),
		upstreams: make(map[string]*upstr.Server),
		changed:   make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	return f, nil
}

// Close stops all balancers, upstreams and the platform, and waits for them.
func (f *Fleet) Close() {
	f.cancel()
	for _, b := range f.live() {
		<-b.done
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.Close()
	}
	if f.platform != nil {
		f.platform.close()
	}
}

// AddBalancer starts a balancer and pushes the new host list to all balancers.
func (f *Fleet) AddBalancer(name, dataCentre string) error {
	bind := netip.AddrPortFrom(f.net.address(dataCentre), 0)
	p, err := f.opts.Start(daemon.Config{
		Self:         model.Balancer{Name: name, DataCentre: dataCentre, Incarnation: uint64(time.Now().UnixNano())},
		ClientListen: bind, UpstreamListen: bind, PeerListen: bind,
		Key:        f.key,
		OnEvent:    func(e *effect.Event) { f.onEvent(name, e) },
		AcceptPeer: func(peer netip.Addr) bool { return !f.net.drops(bind.Addr(), peer) },
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
	if f.platform == nil {
		f.push(b, &input.ConfigReceived{Config: cfg})
	} else {
		f.platform.putHost(p.Self())
	}
	f.PushHosts()
	return nil
}

// onEvent forwards an event to Options.Events and wakes await if the event can
// change its result.
func (f *Fleet) onEvent(balancer string, e *effect.Event) {
	f.opts.Events(balancer, e)
	switch e.Name {
	case "config_in_force", "member_joined", "member_left", "member_returned":
		f.mu.Lock()
		defer f.mu.Unlock()
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// KillBalancer stops a balancer without a graceful exit. The others detect the
// failure or learn of it from PushHosts.
func (f *Fleet) KillBalancer(name string) {
	if b := f.remove(name); b != nil {
		b.cancel()
		<-b.done
	}
}

// leaveTimeout bounds a graceful exit with work in progress. No request of the
// examples lasts longer.
const leaveTimeout = 5 * time.Second

// RetireBalancer starts the graceful exit of a balancer and removes it from the
// host list. The returned function waits until the balancer has stopped.
func (f *Fleet) RetireBalancer(name string) (wait func()) {
	b := f.remove(name)
	if b == nil {
		return func() {}
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		if p, ok := b.Process.(interface{ Daemon() *daemon.Daemon }); ok {
			p.Daemon().Leave(leaveTimeout)
			return
		}
		f.push(b, &input.Leave{})
	}()
	f.PushHosts()
	return func() {
		<-left
		b.cancel()
		<-b.done
	}
}

// remove removes a balancer from the deployment without stopping it.
func (f *Fleet) remove(name string) *balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.balancers[name]
	delete(f.balancers, name)
	return b
}

// PushHosts sends every balancer the list of the balancers that it can reach,
// as the platform's host list would show them.
func (f *Fleet) PushHosts() {
	bs := f.live()
	for _, b := range bs {
		var hosts []model.Balancer
		for _, o := range bs {
			if f.net.isCutOff(o.dataCentre) == f.net.isCutOff(b.dataCentre) {
				hosts = append(hosts, o.Self())
			}
		}
		f.push(b, &input.Hosts{Balancers: hosts})
	}
}

// push sends an input to a balancer unless it has stopped.
func (f *Fleet) push(b *balancer, in input.Input) {
	select {
	case b.inputs <- in:
	case <-b.done:
	}
}

// AddUpstream starts a stand-in upstream and returns its configuration entry.
func (f *Fleet) AddUpstream(dataCentre string, cfg upstr.Config) (model.Upstream, error) {
	ip := f.net.address(dataCentre)
	cfg.Listen, cfg.Health, cfg.Journal = netip.AddrPortFrom(ip, 0), netip.AddrPortFrom(ip, 0), &f.Journal
	cfg.IsCut = func(balancer netip.Addr) bool { return f.net.drops(ip, balancer) }
	s, err := upstr.Start(cfg)
	if err != nil {
		return model.Upstream{}, err
	}
	f.mu.Lock()
	f.upstreams[cfg.Name] = s
	f.mu.Unlock()
	return model.Upstream{Name: cfg.Name, DataCentre: dataCentre, Endpoint: s.Endpoint(), Health: s.Health()}, nil
}

// Configure applies cfg and returns the last revision. With a platform, it
// writes the templates and parameters that differ, deletes nothing, and the
// balancers fetch the result. Without one, it pushes cfg to the balancers that
// are not cut off, and Heal pushes it to the others.
func (f *Fleet) Configure(ctx context.Context, cfg model.Config) (uint64, error) {
	if f.platform != nil {
		var err error
		if cfg, err = f.platform.apply(ctx, f.Config(), cfg); err != nil {
			return 0, err
		}
	}
	f.mu.Lock()
	f.cfg = cfg
	f.mu.Unlock()
	if f.platform != nil {
		return cfg.Revision, nil
	}
	for _, b := range f.live() {
		if !f.net.isCutOff(b.dataCentre) {
			f.push(b, &input.ConfigReceived{Config: cfg})
		}
	}
	return cfg.Revision, nil
}

// SetPlatformDown makes the platform reject all calls, or accept them again.
func (f *Fleet) SetPlatformDown(on bool) {
	if f.platform != nil {
		f.platform.server.Faults.SetDown(on)
	}
}

// Partition cuts data centres off from the others and from the platform.
// Packets between processes of the two sides are dropped, and the host list of
// each side omits the other. Polls of health endpoints still pass, since their
// source address does not show the data centre of the caller.
func (f *Fleet) Partition(dataCentres ...string) {
	f.net.cut(dataCentres)
	f.cutPlatform()
	f.PushHosts()
}

// cutPlatform blocks the platform for the balancers that are cut off.
func (f *Fleet) cutPlatform() {
	if f.platform == nil {
		return
	}
	for _, b := range f.live() {
		f.platform.server.Faults.SetCut(b.Self().Name, f.net.isCutOff(b.dataCentre))
	}
}

// Heal ends a partition.
func (f *Fleet) Heal() {
	f.net.cut(nil)
	f.cutPlatform()
	f.PushHosts()
	if f.platform != nil {
		return
	}
	cfg := f.Config()
	for _, b := range f.live() {
		f.push(b, &input.ConfigReceived{Config: cfg})
	}
}
