//go:build review

package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"egretdock/io/emul/objs"
)

// bed is the deployment: the store, the servers, the clients, the routers and the
// balancer processes.
type bed struct {
	dir     string
	program string
	// sizes has the number of balancers of each zone.
	sizes []int
	// maxPause bounds the pause between two requests of a flow.
	maxPause time.Duration
	ports    ports
	store    objs.Store
	start    time.Time
	end      time.Time

	mu       sync.Mutex
	out      *bufio.Writer
	counts   map[string]int
	broken   int
	attempts int
	// balancers are fixed after the start; their fields have their own lock.
	balancers []*balancer
	// holders has the server at which each flow is open.
	holders map[flowID]*server
}

type ports struct{ packets, ready, control, peers, metrics uint16 }

func (b *bed) over() bool { return time.Now().After(b.end) }

func (b *bed) pause(d time.Duration) { time.Sleep(min(d, max(0, time.Until(b.end)))) }

func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.out, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bed) count(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[what]++
}

func (b *bed) violate(format string, args ...any) {
	b.record("BROKEN "+format, args...)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken++
}

func (b *bed) newAttempt() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts++
	return fmt.Sprintf("%016x", b.attempts)
}

func (b *bed) openedAt(id flowID, s *server) {
	b.mu.Lock()
	b.holders[id] = s
	b.mu.Unlock()
	b.record("flow of %s is open at %s (%s)", id.client, s.name(), s.addr())
}

// forward sends a client's packet to the balancer that the routers choose: the
// first by a hash of the flow among those of the client's zone in rotation.
// It returns that balancer. Packets go to direct instead if it is not nil.
func (b *bed) forward(c *client, id flowID, direct *balancer, packet []byte) *balancer {
	if direct != nil {
		_, _ = c.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(direct.ip, b.ports.packets))
		return direct
	}
	var all, in []*balancer
	for _, x := range b.balancers {
		if x.zone == c.zone {
			all = append(all, x)
			if x.inRotation() {
				in = append(in, x)
			}
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	var best *balancer
	var score uint64
	for _, x := range in {
		h := fnv.New64a()
		fmt.Fprint(h, id.client, id.route, x.name)
		v := h.Sum64()
		v ^= v >> 33
		v *= 0xff51afd7ed558ccd
		v ^= v >> 33
		if best == nil || v > score {
			best, score = x, v
		}
	}
	_, _ = c.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(best.ip, b.ports.packets))
	return best
}

// balancer is one process of the system.
type balancer struct {
	bed  *bed
	name string
	zone string
	ip   netip.Addr
	log  *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	misses int
	// frozen is true while the process is stopped; resumedAt is when it last went on.
	frozen    bool
	resumedAt time.Time
}

func (x *balancer) inRotation() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.misses < 2
}

// settings returns the content of the settings file.
func (x *balancer) settings(seeds []netip.Addr, store netip.AddrPort) string {
	var s []string
	for _, a := range seeds {
		s = append(s, fmt.Sprintf("%q", netip.AddrPortFrom(a, x.bed.ports.control)))
	}
	p := x.bed.ports
	return fmt.Sprintf(`node_id = %q
role = "balancer"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "r"
internal_ports = [%d,%d]
seed_nodes = [%s]
initial_start = true
discovery = "platform"
entry_type = "announcement"
heartbeat_ms = 770
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash_scheme = "steady"
forwarding_mode = "echo"
[zones]
%s
[listen_addrs]
datagram_addr = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpu_share = 0.061
cpu_speedup = 1
memory_mb = 206
max_fds = 2870
link_mbps = 700.0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
outer_ms = 12000
recovery_s = 12
flow_timeout_ms = 2000
flow_lifetime_s = 60
[platform]
address = %q
forwarding_mode = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, x.name, x.ip, x.zone, p.peers, p.peers, strings.Join(s, ","), x.bed.zoneLines(), x.ip, p.packets, x.ip, p.ready, x.ip, p.control, store)
}

// zoneLines returns the zones, all of one region, as lines of the settings file.
func (b *bed) zoneLines() string {
	var lines []string
	for z := range b.sizes {
		lines = append(lines, zoneName(z)+` = "r"`)
	}
	return strings.Join(lines, "\n")
}

func (x *balancer) startProcess() error {
	cmd := exec.Command(x.bed.program, "direct", "-metrics", fmt.Sprint(x.bed.ports.metrics))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "EGRETDOCK_NODE_FILE=" + x.settingsPath()}
	cmd.Stdout, cmd.Stderr = x.log, x.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	x.mu.Lock()
	x.cmd, x.done, x.misses = cmd, done, 2
	x.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (x *balancer) settingsPath() string { return filepath.Join(x.bed.dir, x.name+".toml") }

func (x *balancer) signal(s syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		_ = x.cmd.Process.Signal(s)
	}
}

// waitExit waits until the process has exited. It reports false after limit.
func (x *balancer) waitExit(limit time.Duration) bool {
	select {
	case <-x.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// stop ends the process as the platform does.
func (x *balancer) stop() {
	x.signal(syscall.SIGTERM)
	if !x.waitExit(6 * time.Second) {
		x.signal(syscall.SIGKILL)
		x.waitExit(time.Second)
	}
}

// probe asks twice a second whether the process is ready.
func (x *balancer) probe() {
	h := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ok := false
		if r, err := h.Get(fmt.Sprintf("http://%s/readiness", netip.AddrPortFrom(x.ip, x.bed.ports.ready))); err == nil {
			ok = r.StatusCode == http.StatusOK
			_ = r.Body.Close()
		}
		x.mu.Lock()
		if ok {
			x.misses = 0
		} else {
			x.misses++
		}
		x.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// freePorts returns ports that are free at all addresses, for TCP and UDP.
func freePorts(addrs []netip.Addr, n int) ([]uint16, error) {
	var out []uint16
	for range 200 {
		l, err := net.Listen("tcp", netip.AddrPortFrom(addrs[0], 0).String())
		if err != nil {
			return nil, err
		}
		port := uint16(l.Addr().(*net.TCPAddr).Port)
		_ = l.Close()
		if isFree(addrs, port) {
			if out = append(out, port); len(out) == n {
				return out, nil
			}
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func isFree(addrs []netip.Addr, port uint16) bool {
	for _, a := range addrs {
		at := netip.AddrPortFrom(a, port).String()
		l, err := net.Listen("tcp", at)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", at)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}
