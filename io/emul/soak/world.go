// Package soak runs soak tests: it starts real balancer processes on loopback,
// injects faults from outside of them, and checks the guarantees of the system
// by what clients and upstreams observe.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/rank"
	"egretdock/io/emul/objs"
	"egretdock/io/emul/opaq"
	"egretdock/platform"
)

// service is one service of the run.
type service struct {
	name    string
	address netip.AddrPort
}

var services = []service{
	{"desk", netip.MustParseAddrPort("198.18.0.1:8080")},
	{"intake", netip.MustParseAddrPort("198.18.0.2:8443")},
}

// instance is a stand-in upstream with what the run knows of it.
type instance struct {
	*opaq.Upstream
	dataCentre string
	// reports counts the writes of its entry.
	reports uint64
	// drained is when the store accepted that it drains; zero before.
	drained time.Time
	// lost is when it went silent; zero before.
	lost time.Time
}

// world is everything around the balancers.
type world struct {
	opts      Options
	rnd       *rand.Rand
	store     *objs.Store
	server    *http.Server
	balancers []*balancer
	// network is the first two bytes of all addresses of the run.
	network byte
	ports   ports

	mu        sync.Mutex
	instances []*instance
	nextID    uint64
	version   uint64
	extra     bool
	// unrest is when the last unplanned fault ended, or a time in the future
	// while one lasts.
	unrest time.Time
	report Report
}

// forever is above the length of any run.
const forever = 24 * time.Hour

func (w *world) addr(group, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, group, n})
}

func newWorld(o Options) (*world, error) {
	w := &world{
		opts: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), store: &objs.Store{},
		network: network(o.Seed), report: Report{Seed: o.Seed, Served: map[string]int{}, Failed: map[string]int{}},
	}
	base := uint16(20000 + o.Seed%2000*10)
	w.ports = ports{packets: base, probe: base + 1, peer: base + 2}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "stand-in store")
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(lis) }()
	w.configure(false)
	for i := range instancesEach * len(services) {
		if err := w.addInstance(services[i%len(services)].name, dataCentre(i/len(services))); err != nil {
			return nil, err
		}
	}
	for i := range o.Processes {
		if err := w.addBalancer(i, lis.Addr().String()); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// network returns a byte of the loopback range that runs beside this one are
// unlikely to use.
func network(seed uint64) byte { return byte(10 + (seed+uint64(os.Getpid()))%200) }

// instancesEach is the number of instances of a service, over both data
// centres.
const instancesEach = 4

func dataCentre(i int) string { return fmt.Sprintf("z%d", 1+i%2) }

func (w *world) addBalancer(i int, store string) error {
	p, err := newProxy(store)
	if err != nil {
		return err
	}
	b := &balancer{
		name: fmt.Sprintf("b%d", i+1), dataCentre: dataCentre(i), ip: w.addr(1, byte(i+1)),
		ports: w.ports, store: p, program: w.opts.Program, missed: 2,
	}
	if b.log, err = os.Create(filepath.Join(w.opts.Dir, b.name+".log")); err != nil {
		return errors.Wrap(err, "log file")
	}
	if err := b.writeSettings(w.opts.Dir, w.addr(1, 1)); err != nil {
		return errors.Wrap(err, "settings file")
	}
	w.balancers = append(w.balancers, b)
	return b.start()
}

// addInstance starts an instance and registers it.
func (w *world) addInstance(service, dc string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	u := &instance{dataCentre: dc, Upstream: &opaq.Upstream{
		ID: w.nextID, Service: service, Port: w.ports.packets,
	}}
	if err := u.Start(netip.AddrPortFrom(w.addr(3, byte(w.nextID%250+1)), 0)); err != nil {
		return err
	}
	w.instances = append(w.instances, u)
	w.register(u)
	return nil
}

// register writes the entry of an instance; mu is held.
func (w *world) register(u *instance) {
	u.reports++
	o := u.entry()
	w.store.Put(o.Kind, o.Name, o.Spec)
}

// unregister removes the entry of an instance.
func (w *world) unregister(u *instance) {
	o := u.entry()
	w.store.Delete(o.Kind, o.Name)
}

func (u *instance) entry() platform.Object {
	return platform.InstanceObject(model.Instance{
		ID: u.ID, Service: u.Service, DataCentre: u.dataCentre, Endpoint: u.Addr(), Slots: 2, Draining: !u.drained.IsZero(),
	}, u.reports)
}

// extraAddress has a route only while the run's configuration says so.
var extraAddress = netip.MustParseAddrPort("198.18.0.3:9000")

// configure writes the next configuration.
func (w *world) configure(extra bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.extra = extra
	var routes []model.Route
	add := func(name string, a netip.AddrPort, service string) {
		routes = append(routes, model.Route{Name: name, Address: a, Idempotent: true, Services: []model.WeightedService{{Service: service, Weight: 1}}})
	}
	for _, s := range services {
		add(s.name, s.address, s.name)
	}
	if extra {
		add("extra", extraAddress, services[0].name)
	}
	o := platform.RoutingObject(w.version, routes, idleTimeout)
	w.store.Put(o.Kind, o.Name, o.Spec)
}

// idleTimeout is that of the users' configuration.
const idleTimeout = 15 * time.Second

// pick returns the balancer that the routers choose for a flow of a data
// centre: by rendezvous hash over those in rotation, over the whole data centre
// when fewer than half are, and over all when none is.
func (w *world) pick(dc string, f packet.FlowID) netip.AddrPort {
	var local, ready, others []*balancer
	for _, b := range w.balancers {
		in := b.inRotation()
		switch {
		case b.dataCentre == dc && in:
			local, ready = append(local, b), append(ready, b)
		case b.dataCentre == dc:
			local = append(local, b)
		case in:
			others = append(others, b)
		}
	}
	from := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		from = others
	case 2*len(ready) < len(local):
		from = local
	}
	var best *balancer
	var score uint64
	for _, b := range from {
		ip := b.ip.As4()
		if s := rank.Mix(f.Hash() ^ uint64(ip[3])<<32); best == nil || s > score {
			best, score = b, s
		}
	}
	if best == nil {
		return netip.AddrPort{}
	}
	if !best.running() {
		w.mu.Lock()
		w.report.Undelivered++
		w.mu.Unlock()
	}
	return netip.AddrPortFrom(best.ip, w.ports.packets)
}

// probeEvery is the interval of the routers' probes.
const probeEvery = 500 * time.Millisecond

// probe asks all balancers in turn until ctx ends.
func (w *world) probe(ctx context.Context) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		var g sync.WaitGroup
		for _, b := range w.balancers {
			g.Go(b.probe)
		}
		g.Wait()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// byID returns the instance with an ID.
func (w *world) byID(id uint64) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.instances {
		if u.ID == id {
			return u
		}
	}
	return nil
}

func (w *world) close() {
	for _, b := range w.balancers {
		b.signal(sigKill)
		b.wait(time.Second)
		b.store.close()
		_ = b.log.Close()
	}
	for _, u := range w.instances {
		_ = u.Stop()
	}
	_ = w.server.Close()
}

// Report is the outcome of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Served and Failed count requests by what became of them.
	Served map[string]int `json:"served"`
	Failed map[string]int `json:"failed"`
	// Undelivered counts packets that routers sent to a process that had ended.
	Undelivered int `json:"undelivered"`
	// Faults are the faults injected, in order.
	Faults []string `json:"faults"`
	// Broken are the promises that did not hold.
	Broken []string `json:"broken"`
}

// JSON returns the report as indented JSON.
func (r Report) JSON() string {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err.Error()
	}
	return string(b)
}
