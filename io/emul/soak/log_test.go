package soak

import (
	"net/netip"
	"os"
	"os/exec"
	"testing"
	"time"
)

// Guards against a balancer that exits on SIGPIPE or a write error when the
// reader of its log has gone.
func TestClosedLog(t *testing.T) {
	store, err := newProxy("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer store.close()
	ip := netip.AddrFrom4([4]byte{127, loopbackSubnet(9), 9, 1})
	b := &balancer{name: "b1", dataCentre: "z1", ip: ip, ports: ports{19800, 19801, 19802}, store: store}
	if err := b.writeSettings(t.TempDir(), ip); err != nil {
		t.Fatal(err)
	}
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
