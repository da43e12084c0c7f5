package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// program is the balancer under test, built once.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "egretdock")
	out, err := exec.Command("go", "build", "-o", program, "egretdock/cmd/egretdock").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// run runs one seed and fails for each promise that broke.
func run(t *testing.T, seed uint64, d time.Duration, processes int) Report {
	t.Helper()
	r, err := Run(context.Background(), Options{Seed: seed, For: d, Processes: processes, Clients: 6, Program: program, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Broken {
		t.Errorf("seed %d: %s", seed, b)
	}
	if r.Served["answered"] == 0 {
		t.Errorf("seed %d served nothing: %v", seed, r.Failed)
	}
	return r
}

// Guards against the loss of the whole path: real processes serve, and leave
// and return, with no request failed while nothing unplanned happens.
func TestCalmRun(t *testing.T) {
	if r := run(t, 1, 0, 4); len(r.Failed) > 0 {
		t.Errorf("requests failed without a fault: %v", r.Failed)
	}
}

// A short run with faults; longer ones are run by hand with egretdock soak.
func TestSeededRun(t *testing.T) {
	r := run(t, 2, 20*time.Second, 4)
	if len(r.Faults) == 0 {
		t.Error("no fault was injected")
	}
}
