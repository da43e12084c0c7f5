package front

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"egretdock/core/effect"
)

// Guards against a starting balancer that spends its first second on log lines
// about thousands of instances, and against lines that are omitted uncounted.
func TestLogLinesAreLimited(t *testing.T) {
	for name, limit := range map[string]int{
		"instance_ready": statusBurst, "member_joined": statusBurst,
		"flow_placed": successLines, "packet_dropped": failureLines,
	} {
		t.Run(name, func(t *testing.T) {
			const events = 3000
			s := newStats(metrics.NewRegistry(), &App{})
			lines := 0
			for range events {
				if s.shouldLog(&effect.Event{Name: name}) {
					lines++
				}
			}
			// The limiter refills while the loop runs.
			if lines < limit || lines > 2*limit {
				t.Errorf("%d lines for %d events at once, want about %d", lines, events, limit)
			}
			omitted := ""
			s.logOmitted(func(e effect.Event) { omitted = e.Detail })
			if !strings.Contains(omitted, "=") || strings.Count(omitted, "=0") != 2 {
				t.Errorf("lines_omitted has detail %q, want one count above 0", omitted)
			}
		})
	}
	t.Run("routes_in_force", func(t *testing.T) {
		s := newStats(metrics.NewRegistry(), &App{})
		for range 1000 {
			if !s.shouldLog(&effect.Event{Name: "routes_in_force"}) {
				t.Fatal("a line about routes was omitted")
			}
		}
	})
}
