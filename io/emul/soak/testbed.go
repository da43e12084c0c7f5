// Package soak runs soak tests: it starts real balancer processes on loopback,
// injects faults from outside of them, and checks the invariants of the system
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
	"strings"
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

// service is a load-balanced service with its public address.
type service struct {
	name    string
	address netip.AddrPort
}

var services = []service{
	{"desk", netip.MustParseAddrPort("198.18.0.1:8080")},
	{"intake", netip.MustParseAddrPort("198.18.0.2:8443")},
}

// instance is a stand-in upstream and its state in the run.
type instance struct {
	*opaq.Upstream
	dataCentre string
	// sequence numbers the reports of the instance to the store, and startMillis is
	// its start in milliseconds since the Unix epoch.
	sequence, startMillis uint64
	// drainStarted is when the drain was written to the store; zero before.
	drainStarted time.Time
	// crashed is when the instance was silenced; zero before.
	crashed time.Time
	// registered is true while the entry of the instance should be in the store.
	registered bool
}

// testbed holds the balancers and everything around them: the store, the
// instances, and the routers' view of the balancers.
type testbed struct {
	opts      Options
	rnd       *rand.Rand
	store     *objs.Store
	server    *http.Server
	hub       *hub
	balancers []*balancer
	// subnet is the second byte of all addresses of the run, after 127.
	subnet byte
	ports  ports

	mu         sync.Mutex
	instances  []*instance
	nextID     uint64
	version    uint64
	extraRoute bool
	// unplannedUntil is when the last unplanned fault ended, or a time in the
	// future while one is active.
	unplannedUntil time.Time
	report         Report
}

// farFuture is longer than any run.
const farFuture = 24 * time.Hour

func (tb *testbed) addr(group, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, tb.subnet, group, n})
}

func newTestbed(o Options) (*testbed, error) {
	tb := &testbed{
		opts: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), store: &objs.Store{},
		subnet: loopbackSubnet(o.Seed), report: Report{Seed: o.Seed, Served: map[string]int{}, Failed: map[string]int{}},
	}
	base := uint16(20000 + o.Seed%2000*10)
	tb.ports = ports{packets: base, probe: base + 1, peer: base + 2}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the stand-in store")
	}
	tb.server = &http.Server{Handler: tb.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = tb.server.Serve(lis) }()
	if tb.hub, err = newHub(tb.holder); err != nil {
		return nil, err
	}
	tb.configure(false)
	tb.putOddEntry()
	for i := range instancesPerService * len(services) {
		if err := tb.addInstance(services[i%len(services)].name, dataCentre(i/len(services))); err != nil {
			return nil, err
		}
	}
	for i := range o.Processes {
		if err := tb.addBalancer(i, lis.Addr().String()); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

// loopbackSubnet returns the second byte of a loopback subnet that concurrent
// runs are unlikely to use.
func loopbackSubnet(seed uint64) byte { return byte(10 + (seed+uint64(os.Getpid()))%200) }

// lossShare is the share of the packets from instances to clients that is lost.
const lossShare = 0.01

// instancesPerService is the number over both data centres.
const instancesPerService = 4

func dataCentre(i int) string { return fmt.Sprintf("z%d", 1+i%2) }

func (tb *testbed) addBalancer(i int, store string) error {
	address, err := netip.ParseAddrPort(tb.hub.addr())
	if err != nil {
		return errors.Wrap(err, "parse the address of the store")
	}
	b := &balancer{
		name: fmt.Sprintf("b%d", i+1), dataCentre: dataCentre(i), ip: tb.addr(1, byte(i+1)),
		ports: tb.ports, store: newProxy(store), program: tb.opts.Program, missedProbes: 2,
	}
	if b.log, err = os.Create(filepath.Join(tb.opts.Dir, b.name+".log")); err != nil {
		return errors.Wrap(err, "create the log file")
	}
	if err := b.writeSettings(tb.opts.Dir, tb.addr(1, 1), address); err != nil {
		return errors.Wrap(err, "write the settings file")
	}
	tb.mu.Lock()
	tb.balancers = append(tb.balancers, b)
	tb.mu.Unlock()
	return b.start()
}

// holder returns the balancer whose process holds a socket, or nil.
func (tb *testbed) holder(inode string) *balancer {
	tb.mu.Lock()
	all := tb.balancers
	tb.mu.Unlock()
	for _, b := range all {
		if b.holds(inode) {
			return b
		}
	}
	return nil
}

// addInstance starts an instance and registers it.
func (tb *testbed) addInstance(service, dc string) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.nextID++
	u := &instance{dataCentre: dc, startMillis: uint64(time.Now().UnixMilli()), Upstream: &opaq.Upstream{
		ID: tb.nextID, Service: service, Port: tb.ports.packets, LossShare: lossShare,
	}}
	if err := u.Start(netip.AddrPortFrom(tb.addr(3, byte(tb.nextID%250+1)), 0)); err != nil {
		return err
	}
	tb.instances = append(tb.instances, u)
	tb.register(u)
	return nil
}

// register writes the entry of an instance to the store. The caller holds mu.
func (tb *testbed) register(u *instance) {
	u.sequence++
	u.registered = true
	o := u.entry()
	tb.store.Put(o.Kind, o.Name, o.Spec)
}

// unregister removes the entry of an instance from the store.
func (tb *testbed) unregister(u *instance) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	u.registered = false
	o := u.entry()
	tb.store.Delete(o.Kind, o.Name)
}

func (u *instance) entry() platform.Object {
	return platform.InstanceObject(model.Instance{
		ID: u.ID, Service: u.Service, DataCentre: u.dataCentre, Endpoint: u.Addr(), Slots: 2, Draining: !u.drainStarted.IsZero(),
		Sequence: u.sequence, StartMillis: u.startMillis,
	})
}

// extraAddress is the address whose route is added and removed during the run.
var extraAddress = netip.MustParseAddrPort("198.18.0.3:9000")

// configure writes the next version of the configuration to the store, with or
// without the route of extraAddress.
func (tb *testbed) configure(extra bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.version++
	tb.extraRoute = extra
	tb.putRouting()
}

// putRouting writes the configuration to the store. The caller holds mu.
func (tb *testbed) putRouting() {
	var routes []model.Route
	add := func(name string, a netip.AddrPort, service string) {
		routes = append(routes, model.Route{Name: name, Address: a, Idempotent: true, Services: []model.WeightedService{{Service: service, Weight: 1}}})
	}
	for _, s := range services {
		add(s.name, s.address, s.name)
	}
	if tb.extraRoute {
		add("extra", extraAddress, services[0].name)
	}
	o := platform.RoutingObject(tb.version, routes, idleTimeout)
	tb.store.Put(o.Kind, o.Name, o.Spec)
}

// putOddEntry leaves an entry among those of the instances that encoding/json
// refuses, because it is nested deeper than 10,000.
func (tb *testbed) putOddEntry() {
	const depth = 10001
	kind := platform.InstanceObject(model.Instance{}).Kind
	tb.store.Put(kind, "i-ffffffff", json.RawMessage(strings.Repeat("[", depth)+strings.Repeat("]", depth)))
}

// idleTimeout is the value used in production.
const idleTimeout = 15 * time.Second

// chooseBalancer returns the address of the balancer to which the routers of a
// data centre send a flow. They use rendezvous hashing over the data centre's
// balancers in rotation, over all of its balancers when fewer than half are in
// rotation, and over those in rotation elsewhere when none is.
func (tb *testbed) chooseBalancer(dc string, f packet.FlowID) netip.AddrPort {
	var local, ready, others []*balancer
	for _, b := range tb.balancers {
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
	candidates := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		candidates = others
	case 2*len(ready) < len(local):
		candidates = local
	}
	var best *balancer
	var score uint64
	for _, b := range candidates {
		ip := b.ip.As4()
		if s := rank.Mix(f.Hash() ^ uint64(ip[3])<<32); best == nil || s > score {
			best, score = b, s
		}
	}
	if best == nil {
		return netip.AddrPort{}
	}
	if !best.running() {
		tb.mu.Lock()
		tb.report.Undelivered++
		tb.mu.Unlock()
	}
	return netip.AddrPortFrom(best.ip, tb.ports.packets)
}

// probeInterval is the interval of the routers' probes.
const probeInterval = 500 * time.Millisecond

// probe probes all balancers in every interval until ctx ends.
func (tb *testbed) probe(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		var g sync.WaitGroup
		for _, b := range tb.balancers {
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
func (tb *testbed) byID(id uint64) *instance {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, u := range tb.instances {
		if u.ID == id {
			return u
		}
	}
	return nil
}

func (tb *testbed) close() {
	for _, b := range tb.balancers {
		b.signal(sigKill)
		b.wait(time.Second)
		b.store.close()
		_ = b.log.Close()
	}
	for _, u := range tb.instances {
		_ = u.Stop()
	}
	tb.hub.close()
	_ = tb.server.Close()
}

// Report is the outcome of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Served and Failed count requests by outcome.
	Served map[string]int `json:"served"`
	Failed map[string]int `json:"failed"`
	// Undelivered counts packets that routers sent to a process that had exited.
	Undelivered int `json:"undelivered"`
	// Faults are the faults injected, in order.
	Faults []string `json:"faults"`
	// Broken are the invariants that broke, in order.
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
