package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"egretdock/core/effect"
	"egretdock/core/fault"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/io/admin"
	"egretdock/io/config"
	"egretdock/io/logs"
	"egretdock/io/loop"
	"egretdock/io/peers"
	"egretdock/io/relay"
	"egretdock/io/store"
)

const (
	// leaveTimeout bounds the time of a graceful exit. It is longer than any
	// request deadline, so that requests in progress can finish.
	leaveTimeout = 30 * time.Second
	// hostListInterval is the interval at which a balancer reads the host list.
	// With 1,000 balancers that is 3.3 calls a second; gossip spreads changes
	// of membership sooner.
	hostListInterval = 5 * time.Minute
	// hostListRetryInterval is the interval while the platform does not answer.
	hostListRetryInterval = 5 * time.Second
)

// App is a balancer process: a Daemon, the admin and fetch servers and the loops
// that read from the platform, run by kratos.
type App struct {
	settings      config.Settings
	daemon        *Daemon
	activeConfig  *relay.ActiveConfig
	syncer        *relay.Syncer
	log           *store.Log
	logger        *logs.Logger
	fetchListener net.Listener
	inputs        chan input.Input
	status        *admin.Server
	// fetchServer serves the configuration to other balancers.
	fetchServer *fetchServer
	// stopped is closed when the daemon no longer reads inputs.
	stopped chan struct{}
}

// AppOptions are hooks for emulators; production uses the zero value.
type AppOptions struct {
	// OnEvent receives the events of the engine in addition to the log; may be
	// nil.
	OnEvent func(*effect.Event)
	// AcceptPeer is passed on as Config.AcceptPeer.
	AcceptPeer func(source netip.Addr) bool
}

// NewApp binds all sockets of a balancer.
func NewApp(s config.Settings, o AppOptions) (*App, error) {
	a := &App{settings: s, inputs: make(chan input.Input), stopped: make(chan struct{})}
	a.logger = logs.NewLogger(logs.Options{Process: s.Name, DataCentre: s.DataCentre})
	var err error
	if a.fetchListener, err = net.Listen("tcp", s.FetchListen.String()); err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "cannot listen on fetch_listen", "choose a free address of this host")
	}
	registry := metrics.NewRegistry()
	a.daemon, err = New(Config{
		Self: model.Balancer{
			Name: s.Name, DataCentre: s.DataCentre, Incarnation: uint64(time.Now().UnixNano()),
			Fetch: a.fetchListener.Addr().(*net.TCPAddr).AddrPort(),
		},
		ClientListen: s.ClientListen[0], UpstreamListen: s.UpstreamListen, PeerListen: s.PeerListen,
		Key: s.FleetKey.Bytes(), Workers: s.Workers, FlowLimit: s.Tables.Flows, RequestLimit: s.Tables.Requests,
		OnEvent: func(e *effect.Event) {
			a.logger.Write(*e)
			if o.OnEvent != nil {
				o.OnEvent(e)
			}
		},
		AcceptPeer: o.AcceptPeer,
		OnFetch:    func(b model.Balancer, revision uint64) { a.syncer.ObservePeerRevision(b.Fetch, revision) },
		Metrics:    registry,
	})
	if err != nil {
		_ = a.fetchListener.Close()
		return nil, err
	}
	a.initSyncer()
	a.fetchServer = newFetchServer(a.fetchListener, a.activeConfig, s.FleetKey)
	a.status, err = admin.NewServer(admin.Options{Address: s.AdminListen, State: a.daemon, Registry: registry, Events: a.logger.Ring()})
	if err != nil {
		_ = a.fetchListener.Close()
		a.daemon.sockets.Close()
		return nil, err
	}
	return a, nil
}

// initSyncer creates the syncer, which reads the configuration from the platform
// or from peers.
func (a *App) initSyncer() {
	s := a.settings
	a.log = store.NewLog(store.NewClient(store.Options{BaseURLs: s.Platform, Name: s.Name, Seed: uint64(time.Now().UnixNano())}))
	a.activeConfig = relay.NewActiveConfig(a.deliver)
	seeds := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		seeds = append(seeds, seed.Fetch)
	}
	a.syncer = relay.New(relay.Options{
		Self: a.daemon.Self(), Log: a.log, Peers: peers.NewClient(s.FleetKey, time.Now),
		Membership: a.daemon, Active: a.activeConfig, Clock: store.WallClock{}, Seeds: seeds,
		Seed: uint64(time.Now().UnixNano()), Event: a.logEvent,
	})
}

// deliver passes a new configuration to the engine. It rejects one that gives a
// customer an address on which the balancer listens for other traffic.
func (a *App) deliver(cfg model.Config) {
	if err := a.settings.CheckServiceAddresses(cfg); err != nil {
		a.logEvent("config_refused", "revision", cfg.Revision, "err", err)
		return
	}
	a.push(&input.ConfigReceived{Config: cfg})
}

func (a *App) push(in input.Input) {
	select {
	case a.inputs <- in:
	case <-a.stopped:
	}
}

// logEvent logs an event that does not come from the engine. The value of the
// key revision goes into Event.Revision, the other pairs into Event.Detail.
func (a *App) logEvent(name string, pairs ...any) {
	e := effect.Event{Name: name}
	var detail []string
	for i := 0; i+1 < len(pairs); i += 2 {
		if n, ok := pairs[i+1].(uint64); ok && pairs[i] == "revision" {
			e.Revision = n
			continue
		}
		detail = append(detail, fmt.Sprintf("%v=%v", pairs[i], pairs[i+1]))
	}
	e.Detail = strings.Join(detail, " ")
	a.logger.Write(e)
}

// Run serves until ctx ends or a signal arrives, then leaves gracefully.
func (a *App) Run(ctx context.Context) error {
	// When its own context ends, kratos closes all servers at once and skips
	// BeforeStop. It therefore runs in a context that is never cancelled, and
	// the end of ctx calls Stop, which runs the hook.
	var once sync.Once
	app := kratos.New(
		kratos.Name(a.settings.Name),
		kratos.Context(context.WithoutCancel(ctx)),
		kratos.Server(a.status, a.fetchServer, loop.New(a.daemonLoop), loop.New(a.syncLoop), loop.New(a.hostsLoop)),
		kratos.StopTimeout(leaveTimeout+5*time.Second),
		kratos.BeforeStop(func(context.Context) error {
			once.Do(func() {
				a.syncer.Resign()
				a.daemon.Leave(leaveTimeout)
			})
			return nil
		}),
	)
	stop := context.AfterFunc(ctx, func() { _ = app.Stop() })
	defer stop()
	return app.Run()
}

// RunWithoutLeave serves until ctx ends and then stops at once, like a crash.
// Inputs are passed to the engine in addition to those from the platform.
func (a *App) RunWithoutLeave(ctx context.Context, inputs <-chan input.Input) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{a.daemonLoop, a.syncLoop, a.hostsLoop} {
		g.Go(func() error { return run(ctx) })
	}
	for _, s := range []transport.Server{a.status, a.fetchServer} {
		g.Go(func() error { return s.Start(ctx) })
		context.AfterFunc(ctx, func() { _ = s.Stop(context.Background()) })
	}
	g.Go(func() error {
		for {
			select {
			case in := <-inputs:
				a.push(in)
			case <-ctx.Done():
				return nil
			}
		}
	})
	return g.Wait()
}

// ClientAddr returns the address that clients send to.
func (a *App) ClientAddr() netip.AddrPort { return a.daemon.ClientAddr() }

// Daemon returns the balancer that the process runs.
func (a *App) Daemon() *Daemon { return a.daemon }

func (a *App) daemonLoop(ctx context.Context) error {
	defer close(a.stopped)
	return a.daemon.Run(ctx, a.inputs)
}

func (a *App) syncLoop(ctx context.Context) error {
	a.syncer.Run(ctx)
	return nil
}

// hostsLoop passes the host list of the platform to the engine, or the seeds
// while the platform does not answer.
func (a *App) hostsLoop(ctx context.Context) error {
	for {
		wait := hostListInterval
		hosts, err := a.log.Hosts(ctx)
		if err != nil {
			wait = hostListRetryInterval
			hosts = a.seedHosts()
		}
		a.push(&input.Hosts{Balancers: balancers(hosts)})
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// seedHosts returns the seeds in place of the host list.
func (a *App) seedHosts() []store.Host {
	out := make([]store.Host, 0, len(a.settings.Seeds))
	for _, s := range a.settings.Seeds {
		out = append(out, store.Host{Name: "seed_" + s.Peer.String(), DataCentre: a.settings.DataCentre, PeerAddr: s.Peer, FetchAddr: s.Fetch})
	}
	return out
}

func balancers(hosts []store.Host) []model.Balancer {
	out := make([]model.Balancer, 0, len(hosts))
	for _, h := range hosts {
		if h.PeerAddr.IsValid() {
			out = append(out, model.Balancer{Name: h.Name, DataCentre: h.DataCentre, Peer: h.PeerAddr, Fetch: h.FetchAddr})
		}
	}
	return out
}

// fetchServer serves the configuration to other balancers.
type fetchServer struct {
	http *http.Server
	lis  net.Listener
}

func newFetchServer(lis net.Listener, src peers.ConfigSource, key config.Key) *fetchServer {
	mux := http.NewServeMux()
	mux.Handle(peers.NewConfigHandler(src, key, time.Now))
	return &fetchServer{lis: lis, http: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}}
}

// Start implements transport.Server.
func (s *fetchServer) Start(context.Context) error {
	if err := s.http.Serve(s.lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop implements transport.Server.
func (s *fetchServer) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }
