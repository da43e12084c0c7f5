package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"egretdock/platform"
)

// ports are the ports that the balancers listen on, the same at every address
// of a run.
type ports struct{ packets, probe, peer uint16 }

// balancer is one process under test, on a loopback address of its own.
type balancer struct {
	name       string
	dataCentre string
	ip         netip.Addr
	ports      ports
	// store is this balancer's own proxy to the store, so that its link can fail
	// alone.
	store    *proxy
	program  string
	settings string
	log      *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// missedProbes counts consecutive failed probes. Two take the balancer out of
	// rotation; a new one starts with two, so that it gets packets only once it
	// is ready.
	missedProbes int
}

// writeSettings writes the settings file that the platform provides in
// production.
func (b *balancer) writeSettings(dir string, seed netip.Addr, store netip.AddrPort) error {
	text, err := platform.FormatSettings(platform.Settings{
		Name: b.name, DataCentre: b.dataCentre, Regions: map[string]string{dataCentre(0): "r", dataCentre(1): "r"},
		PacketAddr: netip.AddrPortFrom(b.ip, b.ports.packets), ProbeAddr: netip.AddrPortFrom(b.ip, b.ports.probe),
		PeerAddr: netip.AddrPortFrom(b.ip, b.ports.peer), Seeds: []netip.AddrPort{netip.AddrPortFrom(seed, b.ports.peer)},
		StoreAddr: store, GracePeriod: graceLimit, FlowLifetime: flowLifetime, MemoryBytes: memoryLimit,
	})
	if err != nil {
		return err
	}
	b.settings = filepath.Join(dir, b.name+".toml")
	return os.WriteFile(b.settings, text, 0o600)
}

// flowLifetime and memoryLimit are the values used in production.
const (
	flowLifetime = time.Minute
	memoryLimit  = 206 << 20
)

func (b *balancer) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	cmd := exec.Command(b.program, "direct", "-settings", b.settings)
	cmd.Stdout, cmd.Stderr = b.log, b.log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+b.name)
	}
	done := make(chan struct{})
	b.cmd, b.done = cmd, done
	go func() {
		// The exit status of a process that was killed carries no information.
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// holds reports whether the process holds the socket with an inode.
func (b *balancer) holds(inode string) bool {
	b.mu.Lock()
	cmd := b.cmd
	b.mu.Unlock()
	if cmd == nil || inode == "" {
		return false
	}
	dir := fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		// The process has exited.
		return false
	}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && link == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// signal sends a signal to the process, if it has been started.
func (b *balancer) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		// Fails if the process has already exited, which wait and running report.
		_ = b.cmd.Process.Signal(s)
	}
}

// reload sends SIGHUP to the process once it has set the action of that signal.
// Before that, the kernel's default action ends any process.
func (b *balancer) reload(ctx context.Context) {
	b.mu.Lock()
	cmd, done := b.cmd, b.done
	b.mu.Unlock()
	t := time.NewTicker(dispositionInterval)
	defer t.Stop()
	for !setsHangup(cmd.Process.Pid) {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case <-t.C:
		}
	}
	// Fails if the process has exited, which running reports.
	_ = cmd.Process.Signal(sigHup)
}

// dispositionInterval is the interval at which reload reads the signal masks of a
// process that is starting.
const dispositionInterval = 100 * time.Microsecond

// setsHangup reports whether a process ignores or catches SIGHUP.
func setsHangup(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		// The process has exited.
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err == nil && mask&(1<<(sigHup-1)) != 0 {
			return true
		}
	}
	return false
}

// wait waits for the process to exit and reports whether it did within limit.
func (b *balancer) wait(limit time.Duration) bool {
	b.mu.Lock()
	done := b.done
	b.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// running reports whether the process has not exited.
func (b *balancer) running() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.done:
		return false
	default:
		return true
	}
}

func (b *balancer) inRotation() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.missedProbes < 2
}

// probeTimeout is the probe timeout of the routers.
const probeTimeout = 400 * time.Millisecond

var probeClient = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{
	DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: probeTimeout}).DialContext,
}}

// probe requests the readiness of the process, as the routers do.
func (b *balancer) probe() {
	ok := false
	if resp, err := probeClient.Get(fmt.Sprintf("http://%s/readiness", netip.AddrPortFrom(b.ip, b.ports.probe))); err == nil {
		ok = resp.StatusCode == http.StatusOK
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.missedProbes = 0
	} else {
		b.missedProbes++
	}
}
