package front

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"egretdock/io/logs"
)

func page(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against metrics that operators can't look up.
func TestMetricsAreDocumented(t *testing.T) {
	text := page(t)
	r := metrics.NewRegistry()
	newStats(r, &App{async: logs.NewAsyncWriter(os.Stdout)})
	for name := range r.GetAll() {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("metric %s is not in docs/OPERATIONS.md", name)
		}
	}
}

// Guards against events that operators can't look up: the names in the sources
// that cause them.
func TestEventsAreDocumented(t *testing.T) {
	text := page(t)
	named := regexp.MustCompile(`(?:Name: |Name = |name [:=]?= )"([a-z]+_?[a-z_]*)"`)
	decided := regexp.MustCompile(`(?:reportDecision|placeOpening)\(w, now, d, (?:route, )?&?s, (?:t, |table\.Track\{[^}]*\}, )?"([a-z_]+)"`)
	found := 0
	for _, path := range []string{"../../core/engine/direct.go", "../../core/engine/finding.go", "../feed/feed.go", "../feed/peers.go", "../feed/start.go", "../feed/kinds.go", "app.go", "leave.go", "reload.go", "stats.go"} {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, re := range []*regexp.Regexp{named, decided} {
			for _, m := range re.FindAllStringSubmatch(string(b), -1) {
				if m[1] == "instance_" {
					continue
				}
				found++
				if !strings.Contains(text, "`"+m[1]+"`") {
					t.Errorf("event %s of %s is not in docs/OPERATIONS.md", m[1], path)
				}
			}
		}
	}
	if found < 20 {
		t.Errorf("%d events found in the sources, want at least 20", found)
	}
}
