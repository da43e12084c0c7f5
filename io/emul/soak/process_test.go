package soak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"egretdock/core/packet"
	"egretdock/io/emul/opaq"
)

// newLoneBalancer returns a balancer that has not been started and whose store is
// away.
func newLoneBalancer(t *testing.T) *balancer {
	t.Helper()
	ip := netip.AddrFrom4([4]byte{127, loopbackSubnet(9), 9, 1})
	b := &balancer{name: "b1", dataCentre: "z1", ip: ip, ports: ports{19800, 19801, 19802}, store: newProxy("127.0.0.1:1"), program: program}
	if err := b.writeSettings(t.TempDir(), ip, netip.MustParseAddrPort("127.0.0.1:1")); err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a balancer that exits on SIGPIPE or a write error when the
// reader of its log has gone.
func TestClosedLog(t *testing.T) {
	b := newLoneBalancer(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Close()
	cmd := exec.Command(program, "direct", "-settings", b.settings)
	cmd.Stdout = w
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = w.Close()
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		t.Errorf("the balancer exited after its log was closed: %v", err)
	case <-time.After(2 * time.Second):
		_ = cmd.Process.Kill()
		<-done
	}
}

// Guards against a balancer that SIGHUP ends while it starts. The signal is sent
// as soon as the process has set any action for it.
func TestReloadDuringStart(t *testing.T) {
	b := newLoneBalancer(t)
	for range 20 {
		r, w, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		b.log = w
		if err := b.start(); err != nil {
			t.Fatal(err)
		}
		b.reload(t.Context())
		_ = w.Close()
		started := false
		for lines := bufio.NewScanner(r); !started && lines.Scan(); {
			started = strings.Contains(lines.Text(), "event=started")
		}
		if !started {
			t.Error("the balancer ended before it had started")
		}
		b.signal(sigKill)
		b.wait(time.Minute)
		_ = r.Close()
	}
}

// Guards against an opening that counts as failed although the end of the run has
// cancelled it.
func TestRunEndCancelsOpening(t *testing.T) {
	tb := &testbed{report: Report{Served: map[string]int{}, Failed: map[string]int{}}}
	ctx, cancel := context.WithCancel(t.Context())
	c, err := opaq.NewClient(netip.MustParseAddrPort("127.0.0.1:0"), func(packet.FlowID) netip.AddrPort {
		// The opening is on its way and nothing answers it.
		cancel()
		return netip.AddrPort{}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	tb.runFlows(ctx, c, services[0], rand.New(rand.NewPCG(1, 1)))
	if len(tb.report.Failed) != 0 {
		t.Errorf("requests counted as failed: %v", tb.report.Failed)
	}
}
