// Package daemon runs one balancer process: it joins the engine with sockets,
// timers and the pollers of upstream health.
package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"egretdock/core/effect"
	"egretdock/core/engine"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/worker"
	"egretdock/io/dgram"
	"egretdock/io/gossip"
	"egretdock/io/wire"
)

// Config is what a balancer needs to start.
type Config struct {
	// Self names the balancer. Its Peer address is replaced by the bound one.
	Self model.Balancer
	// Clients, Upstreams and Peers are the addresses to bind; port 0 selects a
	// free port. They must differ.
	Clients, Upstreams, Peers netip.AddrPort
	// Key is the fleet key, at least 16 bytes; it is never logged.
	Key []byte
	// Workers is the number of workers on each of the client and upstream
	// sockets; 0 means 1.
	Workers int
	// Seed starts the random sources.
	Seed uint64
	// Events receives the events of the engine; may be nil. It must not block.
	Events func(*effect.Event)
	// Fetch is told of a peer with a newer configuration; may be nil. It must
	// not block.
	Fetch func(peer model.Balancer, revision uint64)
	// AcceptPeer reports whether datagrams of a peer are taken; nil takes all.
	// Emulators use it to cut data centres off from each other.
	AcceptPeer func(source netip.Addr) bool
	// Flows bounds the flow cache, and Requests the work tracked as an owner; 0
	// selects the default.
	Flows, Requests int
	// Metrics receives the counters of the data path; may be nil.
	Metrics metrics.Registry
}

// queueLength bounds the control inputs that wait for the control worker.
const queueLength = 256

// Daemon is one balancer.
type Daemon struct {
	cfg     Config
	engine  engine.Engine
	sockets dgram.Sockets
	poller  *poller
	queue   *worker.Queue
	// closeQueue ends the queue when Run returns.
	closeQueue context.CancelFunc
	sealer     *gossip.Sealer
	opener     *gossip.Opener
	stats      *stats

	// Counters count datagrams that were dropped before the engine.
	Counters dgram.Counters
}

// New binds the sockets of a balancer.
func New(cfg Config) (*Daemon, error) {
	if _, err := wire.NewSealer(cfg.Key); err != nil {
		return nil, err
	}
	d := &Daemon{cfg: cfg}
	var err error
	if d.opener, err = gossip.NewOpener(cfg.Key); err != nil {
		return nil, err
	}
	if d.sealer, err = gossip.NewSealer(cfg.Key, rand.Uint64()); err != nil {
		return nil, err
	}
	bind := func(a netip.AddrPort) *dgram.Socket {
		if err != nil {
			return nil
		}
		var s *dgram.Socket
		s, err = dgram.Listen(a)
		return s
	}
	d.sockets = dgram.Sockets{Clients: bind(cfg.Clients), Upstreams: bind(cfg.Upstreams), Peers: bind(cfg.Peers)}
	if err != nil {
		d.sockets.Close()
		return nil, err
	}
	d.engine.Self = cfg.Self
	d.engine.Tables.Flows.Limit = cfg.Flows
	d.engine.Tables.Requests.Limit = cfg.Requests
	d.engine.Self.Peer = d.sockets.Peers.Addr()
	var ctx context.Context
	ctx, d.closeQueue = context.WithCancel(context.Background())
	d.queue = worker.NewQueue(ctx, queueLength)
	d.poller = newPoller()
	d.stats = newStats(cfg.Metrics, &d.Counters)
	return d, nil
}

// Self returns the balancer with its bound peer address.
func (d *Daemon) Self() model.Balancer { return d.engine.Self }

// ClientAddr returns the address that clients send to.
func (d *Daemon) ClientAddr() netip.AddrPort { return d.sockets.Clients.Addr() }

// Revision returns the configuration revision in force.
func (d *Daemon) Revision() uint64 { return d.engine.Tables.View().Config.Revision }

// Run serves until ctx is cancelled. It is called once.
func (d *Daemon) Run(ctx context.Context, inputs <-chan input.Input) error {
	g, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, d.closeQueue)
	pool := worker.Pool{Engine: &d.engine, Now: time.Now, Seed: d.cfg.Seed}
	g.Go(func() error { return pool.Run(ctx, d.sources(), d.sink) })
	g.Go(func() error { return d.tick(ctx, inputs) })
	g.Go(func() error { return d.poller.run(ctx, d.queue.Push) })
	g.Go(func() error {
		<-ctx.Done()
		d.sockets.Close()
		return nil
	})
	return g.Wait()
}

func (d *Daemon) seal() *wire.Sealer {
	s, err := wire.NewSealer(d.cfg.Key)
	if err != nil {
		panic("daemon: key was checked by New: " + err.Error())
	}
	return s
}

func (d *Daemon) sources() []worker.Source {
	out := []worker.Source{d.queue, dgram.NewPeerSource(d.sockets.Peers, d.seal(), d.opener, dgram.PeerOptions{Now: time.Now, Accept: d.cfg.AcceptPeer}, &d.Counters)}
	for range max(1, d.cfg.Workers) {
		out = append(out,
			dgram.NewClientSource(d.sockets.Clients, d.seal(), &d.Counters),
			dgram.NewUpstreamSource(d.sockets.Upstreams, &d.Counters))
	}
	return out
}

func (d *Daemon) sink() worker.Sink {
	return d.stats.count(dgram.NewSink(d.sockets, dgram.Sealers{Wire: d.seal(), Gossip: d.sealer}, &d.Counters, d.other))
}

// other carries out the effects that are not datagrams.
func (d *Daemon) other(e effect.Effect) {
	switch e := e.(type) {
	case *effect.Event:
		if d.cfg.Events != nil && d.stats.reportable(e) {
			d.cfg.Events(e)
		}
	case *effect.Poll:
		d.poller.ask(e.Upstream)
	case *effect.Fetch:
		if d.cfg.Fetch != nil {
			d.cfg.Fetch(e.Peer, e.Revision)
		}
	case *effect.Gossip, *effect.ToUpstream, *effect.ToClient, *effect.ToPeer, *effect.Deliver, *effect.ResetFlow, *effect.Wake:
	}
}

// tick feeds the control worker with time and with the inputs from outside.
func (d *Daemon) tick(ctx context.Context, inputs <-chan input.Input) error {
	t := time.NewTicker(input.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.queue.Push(&input.Tick{})
		case in := <-inputs:
			d.queue.Push(in)
		}
	}
}
