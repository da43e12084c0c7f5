package trace

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	"egretdock/core/clock"
	"egretdock/core/effect"
	"egretdock/core/fault"
	"egretdock/io/logs"
)

var base = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func record(process string, ms int, e effect.Event) logs.Record {
	at := clock.Stamp{Wall: base.Add(time.Duration(ms) * time.Millisecond).UnixNano()}
	return logs.Record{Process: process, DataCentre: "casa1", At: at, Event: e}
}

func wantNames(t *testing.T, tl Timeline, want ...string) {
	t.Helper()
	var got []string
	for _, r := range tl.Records() {
		got = append(got, r.Event.Name)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

// Guards against skewed clocks that reverse cause and effect: messages go from a
// host whose clock is 20 s ahead to one whose clock is 20 s behind, and back.
func TestSkewedClocksKeepCauseBeforeEffect(t *testing.T) {
	process := func(name string, skew time.Duration) *logs.Logger {
		return logs.NewLogger(logs.Options{Process: name, Now: func() time.Time { return base.Add(skew) }})
	}
	fast, slow := process("fast", 20*time.Second), process("slow", -20*time.Second)
	write := func(l *logs.Logger, name string) { l.Write(effect.Event{Name: name}) }
	write(fast, "open_forwarded")
	slow.Observe(fast.Tick())
	write(slow, "open_granted")
	fast.Observe(slow.Tick())
	write(fast, "open_confirmed")
	tl := Timeline{}.With(slow.Ring().After(clock.Stamp{})...).With(fast.Ring().After(clock.Stamp{})...)
	wantNames(t, tl, "open_forwarded", "open_granted", "open_confirmed")
}

// Guards against a selection that contains events of other flows, customers or
// edits, and against one that hides that events are missing.
func TestWhere(t *testing.T) {
	tl := Timeline{}.With(
		record("b1", 0, effect.Event{Name: logs.EventOverwritten}),
		record("b1", 1, effect.Event{Name: "a", Flow: 1, Customer: "c1", Upstream: "u1", Revision: 1, Request: "r1", Client: netip.MustParseAddrPort("10.0.0.1:1")}),
		record("b2", 2, effect.Event{Name: "b", Flow: 2, Customer: "c2", Upstream: "u2", Revision: 2, Request: "r2", Client: netip.MustParseAddrPort("10.0.0.2:2")}),
		record("b2", 2, effect.Event{Name: "b", Flow: 2, Customer: "c2", Upstream: "u2", Revision: 2, Request: "r2", Client: netip.MustParseAddrPort("10.0.0.2:2")}),
	)
	for _, c := range []Condition{ByFlow(2), ByCustomer("c2"), ByUpstream("u2"), ByRevision(2), ByEvent("b"), ByRequest("r2"), ByClient("10.0.0.2:2"), ByClient("10.0.0.2")} {
		t.Run(fmt.Sprintf("%T", c), func(t *testing.T) {
			wantNames(t, tl.Where(c), logs.EventOverwritten, "b")
		})
	}
	wantNames(t, tl.Where(ByProcess("b2")), "b")
	wantNames(t, tl.Where(ByFlow(1), ByCustomer("c2")), logs.EventOverwritten)
}

// Guards against a timeline that fails because of one dead process or malformed
// log, and against a failed source that is not reported.
func TestReadReportsPartialFailure(t *testing.T) {
	page := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, record("b2", 0, effect.Event{Name: "served"}))
	}))
	dead := httptest.NewServer(http.NotFoundHandler())
	defer page.Close()
	defer dead.Close()
	log := strings.Join([]string{
		"starting", strings.Repeat("x", 3*maxLine), "I1204 08:00:00.000000 1 a.go:1] " + record("b1", 1, effect.Event{Name: "good"}).String(),
		"process=b1 at=2026-12-04T08:00", record("b1", 2, effect.Event{Name: "later"}).String(),
	}, "\n")
	tl, errs := Read(context.Background(), []Source{
		Stream{"log", strings.NewReader(log)}, EventsURL(page.URL), EventsURL(dead.URL), File("no/such/file"),
	})
	wantNames(t, tl, "served", "good", "later")
	text := ""
	for _, err := range errs {
		text += fmt.Sprintf("%v %v\n", fault.KindOf(err), err)
	}
	want := `^invalid 1 malformed lines skipped, the first at: log:4: .*\nunavailable .*404.*\nnot_found .*no/such/file.*\n$`
	if !regexp.MustCompile(want).MatchString(text) {
		t.Errorf("errors %q, want %q", text, want)
	}
}

// Guards against a value in a log that runs as a script in the page or controls
// the terminal, and against a page that loads other resources.
func TestRenderingEscapes(t *testing.T) {
	evil := "</script><script>alert(1)</script>\x1b[2J\" onclick=\"x"
	tl := Timeline{}.With(record(evil, 0, effect.Event{Name: evil, Customer: evil, Upstream: evil, Detail: evil}))
	var page, text strings.Builder
	if err := errors.Join(WriteHTML(&page, tl), WriteText(&text, tl)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"<script>alert", `" onclick="`, "src=", "href=", "url(", "http:", "https:", "ZgotmplZ"} {
		if strings.Contains(page.String(), bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
	if strings.Contains(text.String(), "\x1b") {
		t.Errorf("the text contains an escape character: %q", text.String())
	}
}

// Guards against a page that does not show that it is incomplete.
func TestPageReportsOmittedEvents(t *testing.T) {
	var tl Timeline
	for i := range 5 {
		tl = tl.With(record("b1", i, effect.Event{Name: "tick"}))
	}
	var b strings.Builder
	if err := writeHTML(&b, tl, 2); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(b.String(), "data-line="); n != 2 || !strings.Contains(b.String(), "3 earlier events are left out") {
		t.Errorf("the page has %d rows, want 2 and a note about 3 omitted events", n)
	}
}
