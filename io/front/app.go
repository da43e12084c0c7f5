// Package front runs a balancer of opaque flows: it connects the engine to the
// sockets, the platform's store and the readiness probes of the routers.
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
	"egretdock/io/sigs"
	"egretdock/io/stall"
	"egretdock/platform"
)

const (
	// tickInterval is half of the gap between ticks after which membership assumes
	// that the process was paused. Openings that wait for an answer schedule a
	// Wake of their own.
	tickInterval = 100 * time.Millisecond
	// queueLength bounds the control inputs that wait for a worker.
	queueLength = 256
	// softMemoryShare is the fraction of the memory limit above which the garbage
	// collector runs more often. At the limit itself the process is killed.
	softMemoryShare = 0.6
	// httpTimeout bounds how long a slow HTTP client can hold a connection.
	httpTimeout = 5 * time.Second
	// logFlushTimeout bounds the wait for the last log lines at the exit.
	logFlushTimeout = 500 * time.Millisecond
)

// SettingsVariable is the environment variable that holds the path of the
// settings file.
const SettingsVariable = platform.SettingsVariable

// Options configure a process in addition to its settings file.
type Options struct {
	// SettingsPath is the path of the settings file; if empty, SettingsVariable
	// holds the path. The file is read again on SIGHUP and at regular intervals.
	SettingsPath string
	// MetricsPort is the TCP port that serves the metrics; 0 disables it.
	MetricsPort uint16
}

// App is a balancer process.
type App struct {
	settings   platform.Settings
	opts       Options
	engine     engine.Engine
	flowSocket *dgram.Socket
	peerSocket *dgram.Socket
	peerAuth   peerAuth
	queue      *worker.Queue
	feed       feed.Feed
	logger     *logs.Logger
	asyncLog   *logs.AsyncWriter
	stats      *stats
	counters   dgram.Counters
	stalls     stall.Meter
	servers    []*http.Server
	// listeners has the listener of each server.
	listeners []net.Listener

	// reloads receives SIGHUP, from before the settings were first read.
	reloads <-chan os.Signal
	// resumeCollector turns the garbage collector on after the start.
	resumeCollector func(ctx context.Context, ready <-chan struct{}, settle time.Duration) error
	// leaving is set once the process was asked to stop.
	leaving atomic.Bool
	// clientPackets counts the client packets that were delivered or answered with
	// a reset.
	clientPackets atomic.Uint64
	// closeQueue closes queue.
	closeQueue context.CancelFunc
}

// NewApp reads the settings and binds all sockets of a balancer.
func NewApp(o Options) (*App, error) {
	reloads, resumeCollector := sigs.Reloads(), suspendCollector()
	s, err := platform.ReadSettings(o.SettingsPath)
	if err != nil {
		return nil, err
	}
	// Otherwise a write to the log after its reader has exited ends the process.
	signal.Ignore(syscall.SIGPIPE)
	debug.SetMemoryLimit(int64(softMemoryShare * float64(s.MemoryBytes)))
	a := &App{settings: s, opts: o, reloads: reloads, resumeCollector: resumeCollector, asyncLog: logs.NewAsyncWriter(os.Stdout)}
	logs.SetOutput(a.asyncLog)
	a.logger = logs.NewLogger(logs.Options{Process: s.Name, DataCentre: s.DataCentre})
	registry := metrics.NewRegistry()
	a.stats = newStats(registry, a)
	a.engine.Self = model.Balancer{
		Name: s.Name, DataCentre: s.DataCentre, Incarnation: uint64(time.Now().UnixNano()),
		Peer: s.PeerAddr, Fetch: s.PeerAddr, Capacity: s.Capacity,
	}
	a.engine.Direct = engine.DirectConfig{
		FlowLifetime: s.FlowLifetime, ChangeDeadline: s.ChangeDeadline,
		Locality: table.Locality{DataCentre: s.DataCentre, Regions: s.Regions},
	}
	var ctx context.Context
	ctx, a.closeQueue = context.WithCancel(context.Background())
	a.queue = worker.NewQueue(ctx, queueLength)
	a.feed = feed.Feed{
		Store: platform.NewStoreClient(s.StoreAddr), Peers: peers.NewClient(fleetKey(s), time.Now), Local: a, Push: a.queue.Push, Stalled: a.stalls.Since, LogEvent: a.logEvent, ObserveCall: a.stats.observeStoreCall,
		Seed: a.engine.Self.Incarnation, ChangeDeadline: s.ChangeDeadline,
	}
	if a.flowSocket, err = dgram.Listen(s.PacketAddr); err != nil {
		return nil, err
	}
	if err := a.listenPeers(); err != nil {
		return nil, err
	}
	if err := a.serve(s.ProbeAddr, platform.NewReadyHandler(a.Ready)); err != nil {
		return nil, err
	}
	if o.MetricsPort > 0 {
		err := a.serve(netip.AddrPortFrom(s.PacketAddr.Addr(), o.MetricsPort), admin.NewMetricsHandler(registry))
		if err != nil {
			// Flows are served without metrics rather than not at all.
			a.logEvent(effect.Event{Name: "metrics_unavailable", Detail: err.Error()})
		}
	}
	a.logEvent(effect.Event{Name: "started", Detail: "packets=" + s.PacketAddr.String() + " store=" + s.StoreAddr.String()})
	return a, nil
}

func (a *App) serve(at netip.AddrPort, h http.Handler) error {
	lis, err := net.Listen("tcp", at.String())
	if err != nil {
		return errors.Wrap(err, "listen on "+at.String())
	}
	a.listeners = append(a.listeners, lis)
	a.servers = append(a.servers, &http.Server{Handler: h, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout})
	return nil
}

// Ready reports whether routers may send new flows here.
func (a *App) Ready() bool {
	return !a.leaving.Load() && hasRoutesAndInstances(a.engine.Tables.Direct())
}

// hasRoutesAndInstances reports whether a view has routes and a list of
// instances.
func hasRoutesAndInstances(d *table.DirectView) bool {
	return !d.Routing.Position.IsZero() && !d.Roster.Position.IsZero()
}

// Run serves until ctx ends or a signal arrives, then shuts down gracefully.
func (a *App) Run(ctx context.Context) error {
	var once sync.Once
	app := kratos.New(
		kratos.Name(a.settings.Name),
		// The end of ctx calls Stop below and doesn't cancel the app itself, so that
		// the BeforeStop hook runs.
		kratos.Context(context.WithoutCancel(ctx)),
		kratos.Server(loop.New(a.loop)),
		kratos.StopTimeout(a.settings.GracePeriod),
		kratos.BeforeStop(func(context.Context) error {
			once.Do(a.leave)
			return nil
		}),
	)
	stop := context.AfterFunc(ctx, func() {
		if err := app.Stop(); err != nil {
			a.logEvent(effect.Event{Name: "stop_failed", Detail: err.Error()})
		}
	})
	defer stop()
	err := app.Run()
	ev := effect.Event{Name: "stopped", Detail: "reason=asked"}
	if err != nil {
		ev.Detail = "err=" + err.Error()
	}
	a.logEvent(ev)
	a.asyncLog.Close(logFlushTimeout)
	return err
}

func (a *App) loop(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	pool := worker.Pool{Engine: &a.engine, Now: time.Now, Seed: a.engine.Self.Incarnation}
	ready := a.loaded(ctx, maxLoadWait)
	g.Go(func() error { return a.resumeCollector(ctx, ready, firstPacketsTime) })
	flows := &delayedSource{Source: dgram.NewFlowSource(a.flowSocket, &a.stalls, &a.counters), ready: ready}
	sources := []worker.Source{a.queue, flows, a.peerSource()}
	g.Go(func() error { return pool.Run(ctx, sources, a.sink) })
	g.Go(func() error { return a.tick(ctx) })
	g.Go(func() error { return a.stalls.Run(ctx) })
	g.Go(func() error { return a.feed.Run(ctx) })
	a.queue.Push(&input.Hosts{Balancers: seeds(a.settings)})
	g.Go(func() error { return a.watchSettings(ctx) })
	for i, s := range a.servers {
		g.Go(func() error {
			if err := s.Serve(a.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	g.Go(func() error {
		<-ctx.Done()
		a.closeQueue()
		for _, s := range a.servers {
			// Clients repeat requests for probes, metrics and news, so that those in
			// progress may be cut off.
			_ = s.Close()
		}
		return errors.Join(a.flowSocket.Close(), a.peerSocket.Close())
	})
	return g.Wait()
}

func (a *App) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			a.queue.Push(&input.Tick{Stalled: a.stalls.Since(last)})
			last = time.Now()
			a.stats.logOmitted(a.logEvent)
		}
	}
}

func (a *App) sink() worker.Sink {
	return a.stats.countPackets(dgram.NewFlowSink(a.flowSocket, a.peerSocket, a.peerAuth.sealer, &a.counters, a.perform))
}

// perform carries out the effects that the FlowSink passes on.
func (a *App) perform(e effect.Effect) {
	switch e := e.(type) {
	case *effect.Event:
		if a.stats.shouldLog(e) {
			a.logger.Write(*e)
		}
	case *effect.Wake:
		time.AfterFunc(e.After, func() { a.queue.Push(&input.Wake{}) })
	case *effect.Gossip, *effect.ToUpstream, *effect.ToClient, *effect.ToPeer, *effect.Poll, *effect.Fetch, *effect.Deliver, *effect.ResetFlow:
		// The FlowSink sends the packets. The other effects belong to egretdock's own
		// protocol, which this front end doesn't serve.
	}
}

// logEvent counts and logs an event from outside the engine.
func (a *App) logEvent(e effect.Event) {
	a.stats.countEvent(&e)
	a.logger.Write(e)
}

// FlowCount returns the number of tracked flows.
func (a *App) FlowCount() int {
	var h locks.Holder
	return a.engine.Tables.Tracks.Len(&h)
}
