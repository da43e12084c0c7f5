package trial

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"egretdock/core/fault"
	"egretdock/io/emul/load"
)

// createFile creates a file for writing and returns it with a function that
// closes it. An empty name gives a nil writer.
func createFile(name string) (io.Writer, func(), error) {
	if name == "" {
		return nil, func() {}, nil
	}
	f, err := os.Create(name)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.KindInvalid, "cannot write "+name, "choose another file")
	}
	return f, func() { _ = f.Close() }, nil
}

// printReport writes a report as text.
func printReport(w io.Writer, r load.Report) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("%s %s policy=%s seed=%d length=%.0fs", r.Example, r.Scenario, r.Policy, r.Seed, r.Seconds)
	p("  flows opened %d, broken %d (by changes %d)", r.FlowsOpened, r.FlowsBroken, r.FlowsBrokenByChange)
	p("  imbalance max/mean %.3f, coefficient of variation %.3f (window %.0f s)", r.ImbalanceMaxOverMean, r.ImbalanceCoefficientOfVariation, r.ImbalanceWindowSeconds)
	printShares(w, "kept share", r.KeptShare)
	printShares(w, "offered share", r.OfferedShare)
	printShares(w, "flood goodput over capacity", r.FloodGoodputOverCapacity)
	printShares(w, "jain index of customers", r.JainCustomers)
	p("  misrouted %d, ran twice %d, false not_run %d, wrong answers %d", r.Misrouted, r.RanTwice, r.FalseNotRun, r.WrongAnswers)
	if q := r.EditInForceSeconds; q != nil {
		p("  edit in force after p50 %.4f s, p99 %.4f s, max %.4f s", q.P50, q.P99, q.Max)
	}
	if d := r.DrainLastNewWorkSeconds; d != nil {
		p("  last new work %.3f s after a drain began", *d)
	}
	if c := r.ControlBytesPerSecond; c != nil {
		p("  membership traffic of a balancer %.0f B/s, at most %.0f B/s", c.Mean, c.Max)
	}
	for _, c := range slices.Sorted(maps.Keys(r.LatencyMS)) {
		p("  latency of %s p50 %.1f ms, p99 %.1f ms", c, r.LatencyMS[c].P50, r.LatencyMS[c].P99)
	}
	for _, c := range slices.Sorted(maps.Keys(r.Outcomes)) {
		p("  outcomes of %s: %v", c, r.Outcomes[c])
	}
	if r.Skipped > 0 {
		p("  %d arrivals were skipped: the load generator was too slow", r.Skipped)
	}
	printInvariants(w, r)
	p("  platform calls %.1f a second", r.PlatformCallsPerSecond)
	for _, race := range r.Races {
		p("  operators at once: %d accepted, %d conflicts, %d others", race.Accepted, race.Conflicts, race.Others)
	}
	if len(r.NotMeasured) > 0 {
		p("  not measured: %v", r.NotMeasured)
	}
}

func printInvariants(w io.Writer, r load.Report) {
	for _, i := range r.Invariants {
		_, _ = fmt.Fprintf(w, "  %-14s %s\n", i.ID, i.Verdict)
		for _, f := range i.Findings {
			_, _ = fmt.Fprintf(w, "      %s\n", f)
		}
		if more := i.FindingCount - len(i.Findings); more > 0 {
			_, _ = fmt.Fprintf(w, "      and %d more\n", more)
		}
	}
}

func printShares(w io.Writer, title string, m map[string]float64) {
	if len(m) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "  %s:", title)
	for _, k := range slices.Sorted(maps.Keys(m)) {
		_, _ = fmt.Fprintf(w, " %s %.3f", k, m[k])
	}
	_, _ = fmt.Fprintln(w)
}

// printRatios writes the ratios of a policy's measures to those of the first
// policy. On a shared machine, only ratios within one invocation are
// comparable.
func printRatios(w io.Writer, base, r load.Report) {
	_, _ = fmt.Fprintf(w, "%s over %s: flows broken %s, imbalance %s", r.Policy, base.Policy,
		ratio(float64(r.FlowsBroken), float64(base.FlowsBroken)), ratio(r.ImbalanceMaxOverMean, base.ImbalanceMaxOverMean))
	for _, c := range slices.Sorted(maps.Keys(base.KeptShare)) {
		_, _ = fmt.Fprintf(w, ", kept share of %s %s", c, ratio(r.KeptShare[c], base.KeptShare[c]))
	}
	_, _ = fmt.Fprintln(w)
}

func ratio(a, b float64) string {
	if b == 0 {
		return fmt.Sprintf("%g to 0", a)
	}
	return fmt.Sprintf("%.2f", a/b)
}
