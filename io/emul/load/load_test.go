package load

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egretdock/io/emul/audit"
	"egretdock/io/emul/cases"
	"egretdock/io/emul/fabric"
	"egretdock/io/emul/script"
)

// Guards against arrivals that differ between runs with the same seed, and
// against floods that raise the rate of other classes.
func TestArrivals(t *testing.T) {
	c := cases.Casablanca()
	s, err := script.Scenario("flood_low", c, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	format := func(seed uint64) string { return fmt.Sprint(script.Arrivals(c, s, seed)) }
	t.Run("same seed", func(t *testing.T) {
		if first, second := format(1), format(1); first != second {
			t.Error("two calls with one seed differ")
		}
	})
	t.Run("other seed", func(t *testing.T) {
		if format(1) == format(2) {
			t.Error("two seeds give the same arrivals")
		}
	})
	t.Run("flood raises its class only", func(t *testing.T) {
		f, _ := s.Flood("plans")
		n := map[string]int{}
		for _, a := range script.Arrivals(c, s, 1) {
			if a.At >= f.From && a.At < f.To {
				n[a.Class.Name]++
			}
		}
		wantBetween(t, "plans in 4 s", n["plans"], 2200, 2600)
		wantBetween(t, "orders in 4 s", n["orders"], 1050, 1350)
	})
}

func wantBetween(t *testing.T, what string, got, low, high int) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: %d, want %d to %d", what, got, low, high)
	}
}

// Guards against scenarios and policies that the help lists but that cannot be
// selected by their names.
func TestNames(t *testing.T) {
	for _, c := range []cases.Example{cases.Casablanca(), cases.Lagos()} {
		for _, name := range script.Scenarios() {
			if _, err := script.Scenario(name, c, 10*time.Second); err != nil {
				t.Errorf("%s %s: %v", c.Name, name, err)
			}
		}
	}
	for _, name := range Policies() {
		if _, err := ParsePolicy(name); err != nil {
			t.Error(err)
		}
	}
}

// smallExample returns an example with fewer balancers and upstreams and less
// load, so that a run fits a test.
func smallExample() cases.Example {
	c := cases.Lagos().WithBalancerCount(6)
	for i := range c.Services {
		c.Services[i].UpstreamCount = 6
		for j := range c.Services[i].Workloads {
			w := &c.Services[i].Workloads[j]
			w.Rate, w.OpenFeeds = min(w.Rate, 40), min(w.OpenFeeds, 9)
		}
	}
	return c
}

func wantNoFail(t *testing.T, h *audit.History, exercised ...string) {
	t.Helper()
	got := make(map[string]audit.Verdict)
	for _, i := range audit.Check(h) {
		got[i.ID] = i.Verdict
		if f, bad := i.Verdict.(audit.Fail); bad {
			t.Errorf("%s: %v", i.ID, f.Findings)
		}
	}
	for _, id := range exercised {
		if _, ok := got[id].(audit.NotExercised); ok {
			t.Errorf("%s was not exercised", id)
		}
	}
}

// Guards against steps that have no effect, and against invariants that fail
// when balancers, upstreams and the configuration change while the network
// drops, duplicates and reorders datagrams.
func TestRun(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := smallExample()
	sc := script.Script{Name: "test", Length: 3 * time.Second}.
		With(300*time.Millisecond, script.Edit{Service: "dispatch"}).
		With(400*time.Millisecond, script.Drain{Service: "dispatch", Index: 1}).
		With(600*time.Millisecond, script.Replace{Service: "dispatch", Index: 2}).
		With(800*time.Millisecond, script.Kill{Balancer: "b01"}).
		With(900*time.Millisecond, script.Notice{}).
		With(1200*time.Millisecond, script.Restart{Service: "photo_archive", Index: 1}).
		With(1500*time.Millisecond, script.Undrain{Service: "dispatch", Index: 1})
	cfg := Config{
		Example: c, Script: sc, Policy: Egretdock{}, Seed: 1,
		Faults: []fabric.Fault{fabric.Drop{Share: 0.01}, fabric.Duplicate{Share: 0.02}, fabric.Reorder{Share: 0.05, By: 5 * time.Millisecond}},
	}
	h, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	wantNoFail(t, h, "flow_survives", "no_misroute", "whole_answer", "at_most_once", "edit_sticks")
	r := Summarize(cfg, h)
	if r.FlowsOpened == 0 || len(r.LatencyMS) != 2 || r.EditInForceSeconds == nil {
		t.Errorf("report lacks measures: %+v", r)
	}
}

// Guards against a baseline that fails to serve correct answers, which would
// make every comparison with it meaningless.
func TestBaselines(t *testing.T) {
	for _, p := range []Policy{Bare{}, Random{}} {
		t.Run(p.String(), func(t *testing.T) {
			defer goleak.VerifyNone(t)
			h, err := Run(t.Context(), Config{Example: smallExample(), Script: script.Script{Length: time.Second}, Policy: p, Seed: 1})
			if err != nil {
				t.Fatal(err)
			}
			wantNoFail(t, h, "whole_answer", "at_most_once")
		})
	}
}
