package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretdock/io/emul/audit"
	"egretdock/io/emul/cases"
)

// Report is the result of one run. Names of fields and keys give the units.
type Report struct {
	Example  string  `json:"example"`
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`

	FlowsOpened int `json:"flows_opened"`
	FlowsBroken int `json:"flows_broken"`
	// FlowsBrokenByChange leaves out flows that broke because their upstream
	// failed or because of a partition.
	FlowsBrokenByChange int `json:"flows_broken_by_change"`
	Misrouted           int `json:"misrouted"`
	RanTwice            int `json:"ran_twice"`
	FalseNotRun         int `json:"false_not_run"`
	WrongAnswers        int `json:"wrong_answers"`

	// The imbalance is measured on the upstreams of the first service.
	ImbalanceMaxOverMean            float64 `json:"imbalance_max_over_mean"`
	ImbalanceCoefficientOfVariation float64 `json:"imbalance_coefficient_of_variation"`
	ImbalanceWindowSeconds          float64 `json:"imbalance_window_seconds"`

	// KeptShare is the goodput of each class in the flood divided by that in the
	// steady phase. OfferedShare is the same ratio of the offered load. Arrivals
	// are random, so KeptShare varies with OfferedShare.
	KeptShare    map[string]float64 `json:"kept_share,omitempty"`
	OfferedShare map[string]float64 `json:"offered_share,omitempty"`
	// FloodGoodputOverCapacity is the goodput of the flooded classes divided by
	// the capacity of the upstreams that were not draining.
	FloodGoodputOverCapacity map[string]float64 `json:"flood_goodput_over_capacity,omitempty"`
	JainCustomers            map[string]float64 `json:"jain_customers"`

	EditInForceSeconds      *Quantiles `json:"edit_in_force_seconds,omitempty"`
	DrainLastNewWorkSeconds *float64   `json:"drain_last_new_work_seconds,omitempty"`

	// PlatformCallsPerSecond counts the calls of all balancers and operators. It
	// is 0 without a platform.
	PlatformCallsPerSecond float64      `json:"platform_calls_per_second"`
	Races                  []audit.Race `json:"operator_races,omitempty"`
	// ControlBytesPerSecond is the membership traffic of a balancer in both
	// directions, without headers and without transfers of the configuration.
	ControlBytesPerSecond *ControlTraffic `json:"control_bytes_per_second,omitempty"`

	LatencyMS map[string]Quantiles `json:"latency_ms"`
	// Outcomes counts calls by class and outcome.
	Outcomes map[string]map[string]int `json:"outcomes"`
	// Skipped counts arrivals that the load generator could not begin; above 0
	// the offered load was lower than planned.
	Skipped int `json:"arrivals_skipped"`

	Invariants []Invariant `json:"invariants"`
	// NotMeasured lists the keys of measures that this run does not have.
	NotMeasured []string `json:"not_measured"`
}

// ControlTraffic is the control traffic, in bytes per second, of the balancers
// that ran during the whole load.
type ControlTraffic struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// Quantiles holds quantiles of a distribution.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Invariant is the verdict on one invariant.
type Invariant struct {
	ID      string `json:"id"`
	Verdict string `json:"verdict"`
	// Findings holds the first maxFindings findings; FindingCount counts all.
	Findings     []string `json:"findings,omitempty"`
	FindingCount int      `json:"found,omitempty"`
}

// HasFailedInvariant reports whether the verdict on an invariant is Fail.
func (r Report) HasFailedInvariant() bool {
	for _, i := range r.Invariants {
		if i.Verdict == (audit.Fail{}).String() {
			return true
		}
	}
	return false
}

// Summarize computes the report of a run.
func Summarize(cfg Config, h *audit.History) Report {
	service := cfg.Example.Services[0].Template.Name
	imbalance := audit.ImbalanceOf(h, service, h.Start.Add(warmUp), h.End)
	r := Report{
		Example: cfg.Example.Name, Scenario: cfg.Script.Name, Policy: cfg.Policy.String(), Seed: cfg.Seed,
		Seconds:     cfg.Script.Length.Seconds(),
		FlowsOpened: audit.FlowsOpened(h), FlowsBroken: audit.FlowsBroken(h), FlowsBrokenByChange: audit.FlowsBrokenByChange(h),
		Misrouted: h.Misrouted, RanTwice: audit.RanTwice(h), FalseNotRun: audit.FalseNotRun(h), WrongAnswers: audit.WrongAnswers(h),
		ImbalanceMaxOverMean: imbalance.MaxOverMean, ImbalanceCoefficientOfVariation: imbalance.Variation, ImbalanceWindowSeconds: imbalance.Window.Seconds(),
		KeptShare:                audit.KeptShare(h, classNames(cfg.Example)),
		OfferedShare:             audit.OfferedShare(h, classNames(cfg.Example)),
		FloodGoodputOverCapacity: floodGoodputOverCapacity(cfg, h),
		JainCustomers:            jainIndices(cfg.Example, h),
		LatencyMS:                latencies(h),
		Outcomes:                 countOutcomes(h),
		Skipped:                  h.Skipped,
		Invariants:               invariants(h),
		PlatformCallsPerSecond:   h.PlatformCalls,
		Races:                    h.Races,
	}
	if r.ControlBytesPerSecond = controlTraffic(h); r.ControlBytesPerSecond == nil {
		r.NotMeasured = append(r.NotMeasured, "control_bytes_per_second")
	}
	r.EditInForceSeconds = editInForceTimes(h)
	if d, ok := audit.DrainLastNewWork(h); ok {
		s := d.Seconds()
		r.DrainLastNewWorkSeconds = &s
	}
	return r
}

func classNames(c cases.Example) []string {
	var out []string
	for _, s := range c.Services {
		for _, w := range s.Workloads {
			out = append(out, w.Class)
		}
	}
	return out
}

// floodGoodputOverCapacity returns the goodput of each flooded class divided by
// the capacity of the upstreams that are not draining.
func floodGoodputOverCapacity(cfg Config, h *audit.History) map[string]float64 {
	out := make(map[string]float64)
	for _, s := range cfg.Example.Services {
		for _, w := range s.Workloads {
			if f, ok := cfg.Script.Flood(w.Class); ok {
				from, to := h.Start.Add(f.From), h.Start.Add(f.To)
				serving := float64(audit.ServingUpstreams(h, s.Template.Name, from)) / float64(s.UpstreamCount)
				out[w.Class] = audit.Goodput(h, w.Class, "", from, to) / (s.Capacity(w) * serving)
			}
		}
	}
	return out
}

// jainIndices returns Jain's fairness index over the customers of each class.
func jainIndices(c cases.Example, h *audit.History) map[string]float64 {
	out := make(map[string]float64)
	for _, s := range c.Services {
		var names []string
		for _, u := range c.CustomersOf(s.Template.Name) {
			names = append(names, u.Name)
		}
		for _, w := range s.Workloads {
			out[w.Class] = audit.JainIndex(h, w.Class, names)
		}
	}
	return out
}

// histogram returns a histogram of microseconds up to one minute with three
// significant digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }

func quantiles(h *hdrhistogram.Histogram, unit time.Duration) Quantiles {
	at := func(us int64) float64 { return float64(us) / float64(unit.Microseconds()) }
	return Quantiles{P50: at(h.ValueAtQuantile(50)), P99: at(h.ValueAtQuantile(99)), Max: at(h.Max())}
}

// latencies returns the latencies of answered calls by class. They count from
// the planned arrival, so that a late start by the load generator shows in them.
func latencies(h *audit.History) map[string]Quantiles {
	hs := make(map[string]*hdrhistogram.Histogram)
	for _, c := range h.Calls {
		if _, ok := c.Outcome.(audit.Answered); !ok {
			continue
		}
		if hs[c.Class] == nil {
			hs[c.Class] = histogram()
		}
		_ = hs[c.Class].RecordValue(max(1, min(c.Ended.Sub(c.Due), time.Minute).Microseconds()))
	}
	out := make(map[string]Quantiles, len(hs))
	for class, hist := range hs {
		out[class] = quantiles(hist, time.Millisecond)
	}
	return out
}

// editInForceTimes returns the times until edits were in force at each balancer,
// or nil if there are none.
func editInForceTimes(h *audit.History) *Quantiles {
	hist := histogram()
	for _, d := range audit.EditDeliveries(h) {
		if !d.Missing {
			_ = hist.RecordValue(max(1, min(d.Took, time.Minute).Microseconds()))
		}
	}
	if hist.TotalCount() == 0 {
		return nil
	}
	q := quantiles(hist, time.Second)
	return &q
}

// controlTraffic returns nil if no balancer had control traffic.
func controlTraffic(h *audit.History) *ControlTraffic {
	var out ControlTraffic
	for _, c := range h.Control {
		out.Mean += c.BytesPerSecond / float64(len(h.Control))
		out.Max = max(out.Max, c.BytesPerSecond)
	}
	if out.Max == 0 {
		return nil
	}
	return &out
}

func countOutcomes(h *audit.History) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for _, c := range h.Calls {
		if out[c.Class] == nil {
			out[c.Class] = make(map[string]int)
		}
		out[c.Class][outcomeName(c.Outcome)]++
	}
	return out
}

func outcomeName(o audit.Outcome) string {
	switch o := o.(type) {
	case audit.Answered:
		return "answered"
	case audit.NotRun:
		return "not_run_" + o.Reason.String()
	case audit.Unknown:
		return "unknown"
	case audit.Broken:
		return "broken"
	case audit.GaveUp:
		return "gave_up"
	}
	return "invalid"
}

// maxFindings limits the findings of one invariant in a report.
const maxFindings = 5

func invariants(h *audit.History) []Invariant {
	var out []Invariant
	for _, i := range audit.Check(h) {
		inv := Invariant{ID: i.ID, Verdict: i.Verdict.String()}
		if f, ok := i.Verdict.(audit.Fail); ok {
			inv.FindingCount = len(f.Findings)
			inv.Findings = f.Findings[:min(len(f.Findings), maxFindings)]
		}
		out = append(out, inv)
	}
	return out
}
