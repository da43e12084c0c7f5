package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"egretdock/platform"
)

// ports are the same on all hosts of a run.
type ports struct{ packets, probe, peer uint16 }

// balancer is one process under test, on a loopback address of its own.
type balancer struct {
	name       string
	dataCentre string
	ip         netip.Addr
	ports      ports
	// store is the proxy to the store, which belongs to this balancer alone.
	store    *proxy
	program  string
	settings string
	log      *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// missed counts probes without an answer; two take it out of rotation. A new
	// balancer begins with two.
	missed int
}

// writeSettings writes the settings file that the platform would place.
func (b *balancer) writeSettings(dir string, seed netip.Addr) error {
	store, err := netip.ParseAddrPort(b.store.addr())
	if err != nil {
		return errors.Wrap(err, "address of the proxy")
	}
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

// flowLifetime and memoryLimit are those of the users' hosts.
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
		// The exit status of a process that was killed says nothing new.
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (b *balancer) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		// The process may have ended by itself, which wait shows.
		_ = b.cmd.Process.Signal(s)
	}
}

// wait waits for the end of the process and reports whether it came in time.
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

// running reports whether the process has not ended.
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
	return b.missed < 2
}

// probeTimeout is that of the routers.
const probeTimeout = 400 * time.Millisecond

var probeClient = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{
	DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: probeTimeout}).DialContext,
}}

// probe asks the process whether it is ready, as the routers do.
func (b *balancer) probe() {
	ok := false
	if resp, err := probeClient.Get(fmt.Sprintf("http://%s/readiness", netip.AddrPortFrom(b.ip, b.ports.probe))); err == nil {
		ok = resp.StatusCode == http.StatusOK
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.missed = 0
	} else {
		b.missed++
	}
}
