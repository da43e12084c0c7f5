package front

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"egretdock/core/effect"
)

// Guards against a start before thousands of instances that spends its first
// second on lines about them, and against lines that vanish uncounted.
func TestLinesAreBounded(t *testing.T) {
	for name, most := range map[string]int{
		"instance_ready": beliefBurst, "member_joined": beliefBurst,
		"flow_placed": successLines, "packet_dropped": failureLines,
	} {
		t.Run(name, func(t *testing.T) {
			const events = 3000
			s := newStats(metrics.NewRegistry(), &App{})
			lines := 0
			for range events {
				if s.reportable(&effect.Event{Name: name}) {
					lines++
				}
			}
			// The budget refills while the loop runs.
			if lines < most || lines > 2*most {
				t.Errorf("%d lines for %d events at once, want about %d", lines, events, most)
			}
			omitted := ""
			s.reportOmitted(func(e effect.Event) { omitted = e.Detail })
			if !strings.Contains(omitted, "=") || strings.Count(omitted, "=0") != 2 {
				t.Errorf("left out: %q, want the kind and its count", omitted)
			}
		})
	}
	t.Run("routes_in_force", func(t *testing.T) {
		s := newStats(metrics.NewRegistry(), &App{})
		for range 1000 {
			if !s.reportable(&effect.Event{Name: "routes_in_force"}) {
				t.Fatal("a line about routes was left out")
			}
		}
	})
}
