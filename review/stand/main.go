//go:build review

// Command stand plays one of the scripts of the review against balancer processes.
// Mode roll stops and starts all balancers, one after the other, under long flows;
// the client of an open flow must not be reset by anybody but the flow's server. Mode
// freeze does the same while balancers stand still one after the other. Mode outage lets the store fall silent for some seconds and drops a route just after its
// return; no flow may be opened on it after the bound. It exits with 1 if the rule was
// broken, with 0 if it held, and with 2 if it couldn't run.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"
)

const (
	heartbeat = 770 * time.Millisecond
	// lossShare is the share of the datagrams from servers to clients that the
	// network loses.
	lossShare       = 0.01
	requestDeadline = 1500 * time.Millisecond
	// flowTime is the least age at which a client closes a flow; minPause and
	// maxPause bound the pause between two of its requests. In mode freeze pauses last up
	// to longPause.
	flowTime           = 8 * time.Second
	minPause, maxPause = 500 * time.Millisecond, 5 * time.Second
	longPause          = 12 * time.Second

	serversPerZone, clientsPerZone, flowsPerClient = 4, 5, 60

	// leadTime is the time from the start of traffic to the first stop, gapTime the
	// pause between a start and the next stop, tailTime the time after the last.
	leadTime, gapTime, tailTime = 10 * time.Second, 1300 * time.Millisecond, 5 * time.Second
	rollTime                    = 50 * time.Second

	// outageTime is the time of all outages; each lasts minOutage to maxOutage.
	outageTime           = 105 * time.Second
	minOutage, maxOutage = 1800 * time.Millisecond, 2600 * time.Millisecond
)

// routeAddr is the address of the only route.
var routeAddr = netip.MustParseAddrPort("127.88.9.1:8443")

func main() {
	program := flag.String("program", "target/egretdock", "the balancer")
	dir := flag.String("dir", "", "a temporary folder")
	out := flag.String("record", "", "the file to write")
	trouble := flag.Bool("trouble", true, "whether the disruption is played")
	mode := flag.String("mode", "roll", "roll, freeze or outage")
	seed := flag.Uint64("seed", 1, "seed of the random choices")
	flag.Parse()
	broken, err := play(*program, *dir, *out, *mode, *trouble, *seed)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken > 0:
		fmt.Println("the rule was broken", broken, "times: see BROKEN in the record")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func play(program, dir, out, mode string, trouble bool, seed uint64) (broken int, err error) {
	file, err := os.Create(out)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	b := &bed{
		dir: dir, program: program, start: time.Now(), out: bufio.NewWriter(file),
		counts: make(map[string]int), holders: make(map[flowID]*server), sizes: []int{3, 3}, maxPause: maxPause,
	}
	if mode == "freeze" {
		b.maxPause = longPause
	}
	if mode == "outage" {
		b.sizes = []int{2, 2, 2, 2, 2, 2}
	}
	defer b.out.Flush()
	if err := b.setUp(seed); err != nil {
		return 0, err
	}
	defer b.killAll()
	if err := b.awaitRotation(10 * time.Second); err != nil {
		return 0, err
	}
	b.record("%s starts, trouble=%t", mode, trouble)
	if err := b.playMode(mode, trouble, seed); err != nil {
		return 0, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, what := range slices.Sorted(maps.Keys(b.counts)) {
		fmt.Fprintf(b.out, "total %s: %d\n", what, b.counts[what])
		fmt.Println(what+":", b.counts[what])
	}
	if b.counts["answered"] < 100 {
		return 0, fmt.Errorf("only %d requests were answered", b.counts["answered"])
	}
	return b.broken, nil
}

func (b *bed) playMode(mode string, trouble bool, seed uint64) error {
	if mode == "outage" {
		b.end = time.Now().Add(outageTime)
		return b.outages(seed, trouble)
	}
	b.end = time.Now().Add(rollTime)
	if mode == "freeze" {
		b.end = time.Now().Add(freezeTime)
	}
	if err := b.startClients(seed); err != nil {
		return err
	}
	switch {
	case trouble && mode == "freeze":
		b.freezes()
	case trouble:
		b.roll()
	}
	time.Sleep(time.Until(b.end) + requestDeadline)
	return nil
}

func ip(third, last int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 88, byte(third), byte(last)})
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z+1) }

func (b *bed) setUp(seed uint64) error {
	addrs := []netip.Addr{ip(0, 1)}
	for i := range 2 * max(len(b.sizes), serversPerZone, clientsPerZone) {
		addrs = append(addrs, ip(1, i+1), ip(2, i+1), ip(3, i+1))
	}
	free, err := freePorts(addrs, 7)
	if err != nil {
		return err
	}
	b.ports = ports{packets: free[0], ready: free[1], control: free[2], peers: free[3], metrics: free[4]}
	storeAddr := netip.AddrPortFrom(ip(0, 1), free[5])
	l, err := net.Listen("tcp", storeAddr.String())
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: &b.store}).Serve(l) }()
	b.putConfig(7, true)
	rnd := rand.New(rand.NewPCG(seed, 1))
	for i := range 2 * serversPerZone {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip(3, i+1), free[6])))
		if err != nil {
			return err
		}
		s := &server{
			id: rnd.Uint64N(1 << 40), service: "feed", zone: zoneName(i % len(b.sizes)), bed: b, conn: conn, born: time.Now().UnixMilli(),
			flows: make(map[flowID]*serverFlow), rnd: rand.New(rand.NewPCG(seed, uint64(100+i))),
		}
		go s.register()
		go s.run()
	}
	return b.startBalancers(storeAddr)
}

// putConfig writes a version of the configuration, with or without the route that
// mode outage drops.
func (b *bed) putConfig(version int, withDropped bool) {
	addrs := []netip.AddrPort{routeAddr}
	if withDropped {
		addrs = append(addrs, droppedAddr)
	}
	var routes []any
	for _, a := range addrs {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", a.Port()), "host": a.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", a.Port()), "route_type": "safe",
			"timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "feed", "max_attempts": 2,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "feed", "health_path": "/health", "max_flows": 4250, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	b.store.Put("config", "main", json.RawMessage(text))
}

func (b *bed) startBalancers(store netip.AddrPort) error {
	seeds := []netip.Addr{ip(1, 1), ip(1, b.sizes[0]+1), ip(1, 2)}
	for zone, size := range b.sizes {
		if err := b.startZone(zone, size, seeds, store); err != nil {
			return err
		}
	}
	return nil
}

func (b *bed) startZone(zone, size int, seeds []netip.Addr, store netip.AddrPort) error {
	for n := range size {
		x := &balancer{bed: b, name: fmt.Sprintf("front-%s-%d", zoneName(zone), n+1), zone: zoneName(zone), ip: ip(1, len(b.balancers)+1), done: make(chan struct{})}
		if err := os.WriteFile(x.settingsPath(), []byte(x.settings(seeds, store)), 0o600); err != nil {
			return err
		}
		var err error
		if x.log, err = os.Create(x.settingsPath() + ".log"); err != nil {
			return err
		}
		if err := x.startProcess(); err != nil {
			return err
		}
		b.balancers = append(b.balancers, x)
		go x.probe()
	}
	return nil
}

func (b *bed) killAll() {
	for _, x := range b.balancers {
		x.signal(9)
		x.waitExit(time.Second)
	}
}

// awaitRotation waits until all balancers are ready.
func (b *bed) awaitRotation(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, x := range b.balancers {
			if x.inRotation() {
				ready++
			}
		}
		if ready == len(b.balancers) {
			return nil
		}
	}
	return fmt.Errorf("not all balancers became ready")
}

func (b *bed) startClients(seed uint64) error {
	for i := range 2 * clientsPerZone {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip(2, i+1), b.ports.packets)))
		if err != nil {
			return err
		}
		c := &client{bed: b, zone: zoneName(i / clientsPerZone), conn: conn, port: 1024, in: make(map[flowID]chan received)}
		go c.run()
		for j := range flowsPerClient {
			go c.feed(rand.New(rand.NewPCG(seed, uint64(1000+100*i+j))))
		}
	}
	return nil
}

// roll stops each balancer as planned and starts it again before the next.
func (b *bed) roll() {
	time.Sleep(leadTime)
	for _, x := range b.balancers {
		if time.Until(b.end) < tailTime {
			return
		}
		b.record("SIGTERM to %s", x.name)
		x.stop()
		b.record("%s has exited", x.name)
		time.Sleep(500 * time.Millisecond)
		if err := x.startProcess(); err != nil {
			b.record("start of %s: %v", x.name, err)
			return
		}
		b.record("%s starts again", x.name)
		time.Sleep(gapTime)
	}
}
