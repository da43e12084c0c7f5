package front

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"egretdock/io/logs"
)

// operationsPage returns the page that describes events and metrics.
func operationsPage(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against metrics without a description for operators.
func TestMetricsAreDocumented(t *testing.T) {
	page := operationsPage(t)
	r := metrics.NewRegistry()
	newStats(r, &App{asyncLog: logs.NewAsyncWriter(os.Stdout)})
	for name := range r.GetAll() {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("metric %s is not in docs/OPERATIONS.md", name)
		}
	}
}

// Guards against events without a description for operators. It takes the names
// of the events from the source files that report them.
func TestEventsAreDocumented(t *testing.T) {
	page := operationsPage(t)
	eventNames := regexp.MustCompile(`(?:Name: |Name = |name [:=]?= )"([a-z]+_?[a-z_]*)"`)
	decisionNames := regexp.MustCompile(`(?:reportDecision|placeOpening)\(w, now, d, (?:route, )?&?s, (?:t, |table\.Track\{[^}]*\}, )?"([a-z_]+)"`)
	found := 0
	for _, path := range []string{"../../core/engine/direct.go", "../../core/engine/finding.go", "../../core/engine/handover.go", "../feed/feed.go", "../feed/peers.go", "../feed/start.go", "../feed/sources.go", "app.go", "leave.go", "reload.go", "stats.go"} {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, re := range []*regexp.Regexp{eventNames, decisionNames} {
			for _, m := range re.FindAllStringSubmatch(string(b), -1) {
				if m[1] == "instance_" {
					continue
				}
				found++
				if !strings.Contains(page, "`"+m[1]+"`") {
					t.Errorf("event %s in %s is not in docs/OPERATIONS.md", m[1], path)
				}
			}
		}
	}
	if found < 20 {
		t.Errorf("%d events found in the sources, want at least 20", found)
	}
}
