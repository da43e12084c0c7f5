package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// program is the path of the balancer under test, built once.
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

// run runs one seed and fails the test for each invariant that broke.
func run(t *testing.T, o Options) Report {
	t.Helper()
	o.Clients, o.Program, o.Dir = 6, program, t.TempDir()
	seed := o.Seed
	r, err := Run(context.Background(), o)
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

// Guards against requests that fail with real processes although no fault is
// injected.
func TestRunWithoutFaults(t *testing.T) {
	if r := run(t, Options{Seed: 1, Processes: 4}); len(r.Failed) > 0 {
		t.Errorf("requests failed without a fault: %v", r.Failed)
	}
}

// Guards against a soak whose balancers are strangers to each other: then no fault
// meets what they pass on.
func TestBalancersAreMembers(t *testing.T) {
	o := Options{Seed: 4, Processes: 4, Clients: 1, Program: program, Dir: t.TempDir()}
	tb, err := newTestbed(o)
	if tb != nil {
		defer tb.close()
	}
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"b1", "b2", "b3", "b4"}
	for _, b := range tb.balancers {
		for _, name := range want {
			awaitLine(t, b.log.Name(), "event=member_joined detail="+name)
		}
	}
}

// awaitLine waits until a log contains a line with a text.
func awaitLine(t *testing.T, path, text string) {
	t.Helper()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		log, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(log), text) {
			return
		}
	}
	t.Errorf("%s has no line with %q", filepath.Base(path), text)
}

// Guards against requests that fail during planned operations: restarts and
// reloads of balancers, replacement of instances, and changes of the
// configuration.
func TestPlannedWork(t *testing.T) {
	if r := run(t, Options{Seed: 3, Duration: 20 * time.Second, Processes: 4, PlannedOnly: true}); len(r.Failed)+r.Undelivered > 0 {
		t.Errorf("requests failed during planned work: %v, %d packets to processes that had ended; %v", r.Failed, r.Undelivered, r.Faults)
	}
}

// Guards against invariants that break under faults of all kinds. Longer runs
// are started by hand with egretdock soak.
func TestRunWithFaults(t *testing.T) {
	r := run(t, Options{Seed: 2, Duration: 20 * time.Second, Processes: 4})
	if len(r.Faults) == 0 {
		t.Error("no fault was injected")
	}
}
