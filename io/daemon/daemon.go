// Package daemon runs one balancer process: it connects the engine to sockets,
// timers, the health poller, the platform and the other balancers.
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
	"egretdock/io/stall"
	"egretdock/io/wire"
)

// Config holds the parameters of a Daemon.
type Config struct {
	// Self describes this balancer. New sets its Peer address to the bound one.
	Self model.Balancer
	// ClientListen, UpstreamListen and PeerListen are the addresses to bind;
	// port 0 selects a free port. They must differ.
	ClientListen, UpstreamListen, PeerListen netip.AddrPort
	// Key is the fleet key, at least 16 bytes; it is never logged.
	Key []byte
	// Workers is the number of workers on each of the client and upstream
	// sockets; 0 means 1.
	Workers int
	// Seed seeds the random sources.
	Seed uint64
	// OnEvent receives the events of the engine; may be nil. It must not block.
	OnEvent func(*effect.Event)
	// OnFetch is called when a peer has a newer configuration; may be nil. It
	// must not block.
	OnFetch func(peer model.Balancer, revision uint64)
	// AcceptPeer reports whether datagrams of a peer are accepted; nil accepts
	// all. Emulators use it to partition the network between data centres.
	AcceptPeer func(source netip.Addr) bool
	// FlowLimit bounds the flow cache, and RequestLimit the requests tracked as
	// an owner; 0 selects the default.
	FlowLimit, RequestLimit int
	// Metrics receives the counters of the data path; may be nil.
	Metrics metrics.Registry
}

// controlQueueLength bounds the inputs that wait for the control worker.
const controlQueueLength = 256

// Daemon runs the engine of one balancer on its sockets.
type Daemon struct {
	cfg     Config
	engine  engine.Engine
	sockets dgram.Sockets
	poller  *poller
	queue   *worker.Queue
	// closeQueue closes the queue when the context of Run ends.
	closeQueue context.CancelFunc
	sealer     *gossip.Sealer
	opener     *gossip.Opener
	stats      *stats

	// Counters count the datagrams that the sockets drop and the gossip traffic.
	Counters dgram.Counters
	// stalls measures how long packets may have waited unread.
	stalls stall.Meter
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
	d.sockets = dgram.Sockets{Clients: bind(cfg.ClientListen), Upstreams: bind(cfg.UpstreamListen), Peers: bind(cfg.PeerListen)}
	if err != nil {
		d.sockets.Close()
		return nil, err
	}
	d.engine.Self = cfg.Self
	d.engine.Tables.Flows.Limit = cfg.FlowLimit
	d.engine.Tables.Requests.Limit = cfg.RequestLimit
	d.engine.Self.Peer = d.sockets.Peers.Addr()
	var ctx context.Context
	ctx, d.closeQueue = context.WithCancel(context.Background())
	d.queue = worker.NewQueue(ctx, controlQueueLength)
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
	g.Go(func() error { return d.queueInputs(ctx, inputs) })
	g.Go(func() error { return d.stalls.Run(ctx) })
	g.Go(func() error { return d.poller.run(ctx, d.queue.Push) })
	g.Go(func() error {
		<-ctx.Done()
		d.sockets.Close()
		return nil
	})
	return g.Wait()
}

func (d *Daemon) newSealer() *wire.Sealer {
	s, err := wire.NewSealer(d.cfg.Key)
	if err != nil {
		panic("daemon: New accepted an invalid fleet key: " + err.Error())
	}
	return s
}

func (d *Daemon) sources() []worker.Source {
	out := []worker.Source{d.queue, dgram.NewPeerSource(d.sockets.Peers, d.newSealer(), d.opener, dgram.PeerOptions{Now: time.Now, Accept: d.cfg.AcceptPeer, Stalls: &d.stalls}, &d.Counters)}
	for range max(1, d.cfg.Workers) {
		out = append(out,
			dgram.NewClientSource(d.sockets.Clients, d.newSealer(), &d.stalls, &d.Counters),
			dgram.NewUpstreamSource(d.sockets.Upstreams, &d.Counters))
	}
	return out
}

func (d *Daemon) sink() worker.Sink {
	return d.stats.countEffects(dgram.NewSink(d.sockets, dgram.Sealers{Wire: d.newSealer(), Gossip: d.sealer}, &d.Counters, d.perform))
}

// perform carries out the effects that send no datagram.
func (d *Daemon) perform(e effect.Effect) {
	switch e := e.(type) {
	case *effect.Event:
		if d.cfg.OnEvent != nil && d.stats.shouldLog(e) {
			d.cfg.OnEvent(e)
		}
	case *effect.Poll:
		d.poller.request(e.Upstream)
	case *effect.Fetch:
		if d.cfg.OnFetch != nil {
			d.cfg.OnFetch(e.Peer, e.Revision)
		}
	case *effect.Gossip, *effect.ToUpstream, *effect.ToClient, *effect.ToPeer, *effect.Deliver, *effect.ResetFlow, *effect.Wake:
	}
}

// queueInputs queues ticks and the given inputs for the control worker.
func (d *Daemon) queueInputs(ctx context.Context, inputs <-chan input.Input) error {
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
