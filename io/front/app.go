// Package front runs a balancer of opaque flows: it joins the engine with the
// sockets, the platform's store and the routers' probes.
package front

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kratos/kratos/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"egretdock/core/effect"
	"egretdock/core/engine"
	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/table"
	"egretdock/core/worker"
	"egretdock/io/admin"
	"egretdock/io/dgram"
	"egretdock/io/feed"
	"egretdock/io/logs"
	"egretdock/io/loop"
	"egretdock/io/peers"
	"egretdock/platform"
)

const (
	// tickEvery is the interval of ticks: half of the gap that membership takes
	// for a pause. Openings that wait for an answer bring their own Wake.
	tickEvery = 100 * time.Millisecond
	// queueLength bounds the control inputs that wait for their worker.
	queueLength = 256
	// memoryShare is the part of the host's memory limit at which the garbage
	// collector works harder, before the process would be killed.
	memoryShare = 0.6
	// readTimeout bounds what a slow reader of the pages can hold.
	readTimeout = 5 * time.Second
	// logFlush bounds the wait for the last lines at the exit.
	logFlush = 500 * time.Millisecond
)

// SettingsVariable is the environment variable that names the settings file.
const SettingsVariable = platform.SettingsVariable

// Options are what a process is told besides its settings.
type Options struct {
	// Path is the settings file, or empty for the one that SettingsVariable
	// names. It is read again on SIGHUP and when it changes.
	Path string
	// MetricsPort serves the metrics; 0 means none.
	MetricsPort uint16
}

// App is a balancer process.
type App struct {
	settings platform.Settings
	opts     Options
	engine   engine.Engine
	socket   *dgram.Socket
	peers    *dgram.Socket
	gossip   gossipSeals
	queue    *worker.Queue
	feed     feed.Feed
	logger   *logs.Logger
	async    *logs.AsyncWriter
	stats    *stats
	counters dgram.Counters
	servers  []*http.Server
	lis      []net.Listener

	// leaving is set once the process was asked to stop.
	leaving atomic.Bool
	// packets counts the packets of clients.
	packets atomic.Uint64
	// closeQueue ends the queue.
	closeQueue context.CancelFunc
}

// NewApp reads the settings and binds all sockets of a balancer.
func NewApp(o Options) (*App, error) {
	s, err := platform.ReadSettings(o.Path)
	if err != nil {
		return nil, err
	}
	// Without this the end of the log's reader would end the process.
	signal.Ignore(syscall.SIGPIPE)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	a := &App{settings: s, opts: o, async: logs.NewAsyncWriter(os.Stdout)}
	logs.SetOutput(a.async)
	a.logger = logs.NewLogger(logs.Options{Process: s.Name, DataCentre: s.DataCentre})
	registry := metrics.NewRegistry()
	a.stats = newStats(registry, a)
	a.engine.Self = model.Balancer{
		Name: s.Name, DataCentre: s.DataCentre, Incarnation: uint64(time.Now().UnixNano()),
		Peer: s.Peer, Fetch: s.Peer, Capacity: s.Capacity,
	}
	a.engine.Direct = engine.DirectConfig{
		FlowLifetime: s.FlowLifetime, RouteChangeDeadline: s.ChangeBound,
		Locality: table.Locality{DataCentre: s.DataCentre, Regions: s.Regions},
	}
	var ctx context.Context
	ctx, a.closeQueue = context.WithCancel(context.Background())
	a.queue = worker.NewQueue(ctx, queueLength)
	a.feed = feed.Feed{
		Store: platform.NewStore(s.Store), Peers: peers.NewClient(fleetKey(s), time.Now), Fleet: a, Push: a.queue.Push, Event: a.event, Call: a.stats.call,
		Seed: a.engine.Self.Incarnation, Bound: s.ChangeBound,
	}
	if a.socket, err = dgram.Listen(s.Packets); err != nil {
		return nil, err
	}
	if err := a.joinPeers(); err != nil {
		return nil, err
	}
	if err := a.serve(s.Probe, platform.NewReadyHandler(a.Ready)); err != nil {
		return nil, err
	}
	if o.MetricsPort > 0 {
		err := a.serve(netip.AddrPortFrom(s.Packets.Addr(), o.MetricsPort), admin.NewMetricsHandler(registry))
		if err != nil {
			// Flows are served without metrics rather than not at all.
			a.event(effect.Event{Name: "metrics_unavailable", Detail: err.Error()})
		}
	}
	a.event(effect.Event{Name: "started", Detail: "packets=" + s.Packets.String() + " store=" + s.Store.String()})
	return a, nil
}

func (a *App) serve(at netip.AddrPort, h http.Handler) error {
	lis, err := net.Listen("tcp", at.String())
	if err != nil {
		return errors.Wrap(err, "listen on "+at.String())
	}
	a.lis = append(a.lis, lis)
	a.servers = append(a.servers, &http.Server{Handler: h, ReadTimeout: readTimeout, WriteTimeout: readTimeout})
	return nil
}

// Ready reports whether routers may send new flows here.
func (a *App) Ready() bool { return !a.leaving.Load() && known(a.engine.Tables.Direct()) }

// known reports whether a view has routes and a list of instances.
func known(d *table.DirectView) bool { return d.Routing.Revision > 0 && d.Roster.Revision > 0 }

// Run serves until ctx ends or a signal arrives, then leaves gracefully.
func (a *App) Run(ctx context.Context) error {
	var once sync.Once
	app := kratos.New(
		kratos.Name(a.settings.Name),
		// The end of ctx asks kratos to stop, so that the hook that leaves runs.
		kratos.Context(context.WithoutCancel(ctx)),
		kratos.Server(loop.New(a.loop)),
		kratos.StopTimeout(a.settings.Grace),
		kratos.BeforeStop(func(context.Context) error {
			once.Do(a.leave)
			return nil
		}),
	)
	stop := context.AfterFunc(ctx, func() {
		if err := app.Stop(); err != nil {
			a.event(effect.Event{Name: "stop_failed", Detail: err.Error()})
		}
	})
	defer stop()
	err := app.Run()
	ev := effect.Event{Name: "stopped", Detail: "reason=asked"}
	if err != nil {
		ev.Detail = "err=" + err.Error()
	}
	a.event(ev)
	a.async.Close(logFlush)
	return err
}

func (a *App) loop(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	pool := worker.Pool{Engine: &a.engine, Now: time.Now, Seed: a.engine.Self.Incarnation}
	flows := a.hold(ctx, dgram.NewFlowSource(a.socket, &a.counters), holdLimit)
	sources := []worker.Source{a.queue, flows, a.peerSource()}
	g.Go(func() error { return pool.Run(ctx, sources, a.sink) })
	g.Go(func() error { return a.tick(ctx) })
	g.Go(func() error { return a.feed.Run(ctx) })
	a.queue.Push(&input.Hosts{Balancers: seeds(a.settings)})
	g.Go(func() error { return a.watchSettings(ctx) })
	for i, s := range a.servers {
		g.Go(func() error {
			if err := s.Serve(a.lis[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	g.Go(func() error {
		<-ctx.Done()
		a.closeQueue()
		for _, s := range a.servers {
			// Probes, metrics and news are asked for again, so nothing is lost.
			_ = s.Close()
		}
		return errors.Join(a.socket.Close(), a.peers.Close())
	})
	return g.Wait()
}

func (a *App) tick(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			a.queue.Push(&input.Tick{})
			a.stats.reportOmitted(a.event)
		}
	}
}

func (a *App) sink() worker.Sink {
	return a.stats.count(dgram.NewFlowSink(a.socket, a.peers, a.gossip.sealer, &a.counters, a.other))
}

// other carries out the effects that are not packets of flows.
func (a *App) other(e effect.Effect) {
	switch e := e.(type) {
	case *effect.Event:
		if a.stats.reportable(e) {
			a.logger.Write(*e)
		}
	case *effect.Wake:
		time.AfterFunc(e.After, func() { a.queue.Push(&input.Wake{}) })
	case *effect.Gossip, *effect.ToUpstream, *effect.ToClient, *effect.ToPeer, *effect.Poll, *effect.Fetch, *effect.Deliver, *effect.ResetFlow:
		// Packets are sent by the sink; the rest belongs to the own protocol,
		// for which this front end has no sockets.
	}
}

// event logs an event from outside the engine.
func (a *App) event(e effect.Event) {
	a.stats.observe(&e)
	a.logger.Write(e)
}

// Flows returns the number of tracked flows.
func (a *App) Flows() int {
	var h locks.Holder
	return a.engine.Tables.Tracks.Len(&h)
}
