//go:build review

// Command case2 plays a planned restart of all balancers, one after the other,
// under long flows. It exits with 1 if the client of an open flow was reset by
// anybody but the flow's server, with 0 if none was, and with 2 if it couldn't run.
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
	// maxPause bound the pause between two of its requests.
	flowTime           = 8 * time.Second
	minPause, maxPause = 500 * time.Millisecond, 5 * time.Second

	balancersPerZone, serversPerZone, clientsPerZone, flowsPerClient = 3, 4, 5, 60

	// leadTime is the time from the start of traffic to the first stop, gapTime the
	// pause between a start and the next stop, tailTime the time after the last.
	leadTime, gapTime, tailTime = 10 * time.Second, 1300 * time.Millisecond, 5 * time.Second
	runTime                     = 50 * time.Second
)

// routeAddr is the address of the only route.
var routeAddr = netip.MustParseAddrPort("127.88.9.1:8443")

func main() {
	program := flag.String("program", "target/egretdock", "the balancer")
	dir := flag.String("dir", "", "a temporary folder")
	out := flag.String("record", "", "the file to write")
	trouble := flag.Bool("trouble", true, "whether balancers are stopped")
	seed := flag.Uint64("seed", 1, "seed of the random choices")
	flag.Parse()
	broken, err := play(*program, *dir, *out, *trouble, *seed)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken > 0:
		fmt.Println("FLOW broken:", broken, "open flows were reset by others than their servers")
		os.Exit(1)
	}
	fmt.Println("FLOW held")
}

func play(program, dir, out string, trouble bool, seed uint64) (broken int, err error) {
	file, err := os.Create(out)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	b := &bed{
		dir: dir, program: program, start: time.Now(), out: bufio.NewWriter(file),
		counts: make(map[string]int), holders: make(map[flowID]*server),
	}
	defer b.out.Flush()
	if err := b.setUp(seed); err != nil {
		return 0, err
	}
	defer b.killAll()
	if err := b.awaitRotation(10 * time.Second); err != nil {
		return 0, err
	}
	b.record("traffic starts, trouble=%t", trouble)
	b.end = time.Now().Add(runTime)
	clients, err := b.startClients(seed)
	if err != nil {
		return 0, err
	}
	if trouble {
		b.roll()
	}
	time.Sleep(time.Until(b.end) + requestDeadline)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, what := range slices.Sorted(maps.Keys(b.counts)) {
		fmt.Fprintf(b.out, "total %s: %d\n", what, b.counts[what])
		fmt.Println(what+":", b.counts[what])
	}
	if b.counts["answered"] < 100 {
		return 0, fmt.Errorf("only %d requests of %d clients were answered", b.counts["answered"], clients)
	}
	return b.broken, nil
}

func ip(third, last int) netip.Addr { return netip.AddrFrom4([4]byte{127, 88, byte(third), byte(last)}) }

func zoneName(z int) string { return fmt.Sprintf("z%d", z+1) }

func (b *bed) setUp(seed uint64) error {
	addrs := []netip.Addr{ip(0, 1)}
	for i := range 2 * max(balancersPerZone, serversPerZone, clientsPerZone) {
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
	spec := map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "r-feed", "host": routeAddr.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", routeAddr.Port()), "route_type": "safe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "feed", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "feed", "health_path": "/health", "max_flows": 4250, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	b.store.Put("config", "main", json.RawMessage(text))
	rnd := rand.New(rand.NewPCG(seed, 1))
	for i := range 2 * serversPerZone {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip(3, i+1), free[6])))
		if err != nil {
			return err
		}
		s := &server{
			id: rnd.Uint64N(1 << 40), service: "feed", zone: zoneName(i / serversPerZone), bed: b, conn: conn, born: time.Now().UnixMilli(),
			flows: make(map[flowID]*serverFlow), rnd: rand.New(rand.NewPCG(seed, uint64(100+i))),
		}
		go s.register()
		go s.run()
	}
	return b.startBalancers(storeAddr)
}

func (b *bed) startBalancers(store netip.AddrPort) error {
	var seeds []netip.Addr
	for i := range 2 * balancersPerZone {
		if i%2 == 0 {
			seeds = append(seeds, ip(1, i+1))
		}
	}
	for i := range 2 * balancersPerZone {
		x := &balancer{bed: b, name: fmt.Sprintf("front-z%d-%d", i/balancersPerZone+1, i%balancersPerZone+1), zone: zoneName(i / balancersPerZone), ip: ip(1, i+1), done: make(chan struct{})}
		if err := os.WriteFile(x.settingsPath(), []byte(x.settings(seeds[:3], store)), 0o600); err != nil {
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

func (b *bed) startClients(seed uint64) (int, error) {
	for i := range 2 * clientsPerZone {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip(2, i+1), b.ports.packets)))
		if err != nil {
			return 0, err
		}
		c := &client{bed: b, zone: zoneName(i / clientsPerZone), conn: conn, port: 1024, in: make(map[flowID]chan received)}
		go c.run()
		for j := range flowsPerClient {
			go c.feed(rand.New(rand.NewPCG(seed, uint64(1000+100*i+j))))
		}
	}
	return 2 * clientsPerZone, nil
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
