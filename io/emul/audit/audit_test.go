package audit

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/io/emul/upstr"
)

var (
	t0   = time.Unix(1000, 0)
	desk = netip.MustParseAddrPort("10.1.0.1:7001")
	feed = netip.MustParseAddrPort("10.1.0.1:7002")
)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func history() *History {
	return &History{
		Start: t0, End: at(30),
		Upstreams: map[string]string{"u1": "order_desk", "u2": "order_desk"},
		Balancers: []Lifetime{{Balancer: "b1", DataCentre: "east", From: t0}, {Balancer: "b2", DataCentre: "west", From: t0}},
		Calls: []Call{{
			Class: "orders", Kind: model.KindRequest, Address: desk, Payload: "one",
			Due: at(1), Ended: at(1.1), Outcome: Answered{Whole: true},
		}},
		Runs:    []upstr.Run{{Upstream: "u1", Address: desk, Payload: "one", At: at(1)}},
		Flows:   []Flow{{ID: 7, Class: "feeds", Address: feed, Opened: at(1)}},
		Accepts: []upstr.Accept{{Upstream: "u1", Address: feed, Flow: 7, At: at(1)}},
		Edits:   []Edit{{Revision: 2, Accepted: at(2)}},
		InForce: []InForce{{"b1", 1, t0}, {"b2", 1, t0}, {"b1", 2, at(3)}, {"b2", 2, at(4)}},
		Faults:  []Fault{Drained{Upstream: "u2", At: at(5), LastWork: at(7)}, Retired{Balancer: "b3", At: at(0.5), Ended: at(2)}},
	}
}

func wantVerdict(t *testing.T, check func(*History) Verdict, want string, change func(*History)) {
	t.Helper()
	h := history()
	change(h)
	if got := check(h); got.String() != want {
		t.Errorf("verdict %s %v, want %s", got, got, want)
	}
}

// Guards against a checker that rejects a correct run, and against one that
// passes a run in which nothing happened.
func TestCorrectHistory(t *testing.T) {
	for _, i := range Check(history()) {
		if want := "pass"; i.ID != "not_run_true" && i.Verdict.String() != want {
			t.Errorf("%s: verdict %s %v, want %s", i.ID, i.Verdict, i.Verdict, want)
		}
	}
	for _, i := range Check(&History{}) {
		if _, ok := i.Verdict.(NotExercised); !ok {
			t.Errorf("%s of an empty history: %s, want not_exercised", i.ID, i.Verdict)
		}
	}
}

// Guards against checkers that miss a violation of their invariant.
func TestViolations(t *testing.T) {
	broken := func(h *History) { h.Flows[0].Broken = at(6) }
	t.Run("flow broken by a change", func(t *testing.T) { wantVerdict(t, FlowSurvives, "fail", broken) })
	t.Run("flow broken before its upstream restarted", func(t *testing.T) {
		wantVerdict(t, FlowSurvives, "fail", func(h *History) {
			broken(h)
			h.Faults = append(h.Faults, Restarted{Upstream: "u1", At: at(8)})
		})
	})
	t.Run("flow broken while another upstream restarted", func(t *testing.T) {
		wantVerdict(t, FlowSurvives, "fail", func(h *History) {
			broken(h)
			h.Faults = append(h.Faults, Restarted{Upstream: "u2", At: at(5)})
		})
	})
	t.Run("packet at another service", func(t *testing.T) {
		wantVerdict(t, NoMisroute, "fail", func(h *History) { h.Misrouted = 1 })
	})
	t.Run("run for another customer", func(t *testing.T) {
		wantVerdict(t, NoMisroute, "fail", func(h *History) { h.Runs[0].Address = netip.MustParseAddrPort("10.1.0.2:7001") })
	})
	t.Run("answer to another request", func(t *testing.T) {
		wantVerdict(t, WholeAnswer, "fail", func(h *History) { h.Calls[0].Outcome = Answered{} })
	})
	t.Run("refused and run", func(t *testing.T) {
		wantVerdict(t, NotRunTrue, "fail", func(h *History) { h.Calls[0].Outcome = NotRun{Reason: packet.ReasonOverload} })
	})
	t.Run("run twice", func(t *testing.T) {
		wantVerdict(t, AtMostOnce, "fail", func(h *History) {
			h.Runs = append(h.Runs, upstr.Run{Upstream: "u2", Address: desk, Payload: "one", At: at(2)})
		})
	})
	t.Run("work after a drain", func(t *testing.T) {
		wantVerdict(t, DrainStops, "fail", func(h *History) { h.Faults[0] = Drained{Upstream: "u2", At: at(5), LastWork: at(8.1)} })
	})
	t.Run("no outcome during an exit", func(t *testing.T) {
		wantVerdict(t, GracefulExit, "fail", func(h *History) { h.Calls[0].Outcome = Unknown{} })
	})
	t.Run("edit missing at a balancer", func(t *testing.T) {
		wantVerdict(t, EditSticks, "fail", func(h *History) { h.InForce = h.InForce[:3] })
	})
	t.Run("edit late", func(t *testing.T) {
		wantVerdict(t, EditSticks, "fail", func(h *History) { h.InForce[3].At = at(22) })
	})
	t.Run("edit reverted", func(t *testing.T) {
		wantVerdict(t, EditSticks, "fail", func(h *History) { h.InForce = append(h.InForce, InForce{"b1", 1, at(9)}) })
	})
}

// Guards against a failed verdict for losses and delays that no balancer can
// prevent.
func TestUnavoidableLoss(t *testing.T) {
	t.Run("flow lost with its upstream", func(t *testing.T) {
		wantVerdict(t, FlowSurvives, "pass", func(h *History) {
			h.Flows[0].Broken = at(6)
			h.Faults = append(h.Faults, Restarted{Upstream: "u1", At: at(5)})
		})
	})
	t.Run("flow lost in a partition", func(t *testing.T) {
		wantVerdict(t, FlowSurvives, "pass", func(h *History) {
			h.Flows[0].Broken = at(6)
			h.Faults = append(h.Faults, Cut{At: at(5), Healed: at(7)})
		})
	})
	t.Run("edit reaches a cut-off balancer after the partition", func(t *testing.T) {
		wantVerdict(t, EditSticks, "pass", func(h *History) {
			h.Faults = append(h.Faults, Cut{DataCentres: []string{"west"}, At: at(1), Healed: at(25)})
			h.InForce[3].At = at(26)
		})
	})
}

func wantNumber(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s = %g, want %g", what, got, want)
	}
}

// Guards against metrics that differ from their standard definitions.
func TestMetrics(t *testing.T) {
	t.Run("imbalance", func(t *testing.T) {
		h := &History{Upstreams: map[string]string{"u1": "s", "u2": "s", "u3": "other"}}
		for i, u := range []string{"u1", "u1", "u1", "u2"} {
			h.Runs = append(h.Runs, upstr.Run{Upstream: u, At: at(float64(i))})
		}
		im := ImbalanceOf(h, "s", t0, at(10))
		wantNumber(t, "max over mean", im.MaxOverMean, 1.5)
		wantNumber(t, "coefficient of variation", im.Variation, 0.5)
	})
	t.Run("jain and kept share", func(t *testing.T) {
		h := &History{Start: t0, End: at(4), Phases: []Phase{{PhaseSteady, t0, at(2)}, {PhaseFlood, at(2), at(4)}}}
		h.Pushes = []PushCount{{"a", "feeds", at(1), 40}, {"a", "feeds", at(3), 30}, {"b", "feeds", at(3), 10}}
		wantNumber(t, "jain", JainIndex(h, "feeds", []string{"a", "b"}), 0.8)
		wantNumber(t, "kept share", KeptShare(h, []string{"feeds"})["feeds"], 1)
	})
}
