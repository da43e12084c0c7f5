package logs

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"k8s.io/klog/v2"

	"egretdock/core/clock"
	"egretdock/core/effect"
	"egretdock/core/fault"
	"egretdock/core/packet"
)

const tickLine = `process=casa1-b1 data_centre=casa1 at=2026-12-04T08:00:00.000000000Z/0 event=tick detail="a b"`

var base = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func record(e effect.Event) Record {
	return Record{Process: "casa1-b1", DataCentre: "casa1", At: clock.Stamp{Wall: base.UnixNano()}, Event: e}
}

func wantParsed(t *testing.T, line string, want Record) {
	t.Helper()
	if got, err := Parse(line); err != nil || got != want {
		t.Errorf("Parse(%q) = %+v, %v; want %+v", line, got, err, want)
	}
}

// Guards against a value with spaces, quotes or line breaks that splits a line
// or forges a field, against empty fields that are written, and against a
// changed format.
func TestLineQuoting(t *testing.T) {
	if got := record(effect.Event{Name: "tick", Detail: "a b"}).String(); got != tickLine {
		t.Errorf("got  %s\nwant %s", got, tickLine)
	}
	for _, detail := range []string{
		"plain", "two words", `say "x"`, "a=b", "back\\slash", "line\nprocess=x event=y", "naïve \xff", " ", "\x00", "`",
	} {
		t.Run(fmt.Sprintf("%q", detail), func(t *testing.T) {
			r := record(effect.Event{Name: "flow_open", Flow: 1<<64 - 1, Customer: "o'neil & co", Upstream: "u1", Revision: 12, Detail: detail})
			line := r.String()
			if strings.ContainsAny(line, "\r\n") {
				t.Errorf("%q is more than one line", line)
			}
			wantParsed(t, line, r)
			wantParsed(t, "I1204 08:00:00.000000      12 engine.go:3] "+line+"\n", r)
		})
	}
}

// Guards against a damaged line that is read as another event.
func TestParseRejects(t *testing.T) {
	for name, bad := range map[string]string{
		"truncated in a quote":    tickLine[:len(tickLine)-1],
		"truncated after a space": tickLine[:strings.LastIndex(tickLine, "detail")],
		"field twice":             tickLine + " event=other",
		"no event":                strings.ReplaceAll(tickLine, "event=tick ", ""),
		"no stamp":                strings.ReplaceAll(tickLine, " at=", " other="),
		"flow not a number":       tickLine + " flow=x",
		"quote in bare":           tickLine + ` customer=a"b`,
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := Parse(bad); fault.KindOf(err) != fault.KindInvalid {
				t.Errorf("Parse(%q) = %v, %v; want an error of kind invalid", bad, got, err)
			}
		})
	}
}

// Guards against a line that is accepted but does not survive a round trip, and
// against a panic on any input.
func FuzzParse(f *testing.F) {
	f.Add(record(effect.Event{Name: "tick", Flow: 3, Detail: "a \"b\"\n"}).String())
	f.Add(`I1204 08:00:00.000000 1 a.go:1] process=a at=2026-12-04T08:00:00.000000000Z/0 event="" x=1`)
	f.Fuzz(func(t *testing.T, line string) {
		if r, err := Parse(line); err == nil {
			wantParsed(t, r.String(), r)
		}
	})
}

// Guards against an event that is lost, split or duplicated between the log and
// the ring, and against stamps that go back with the physical clock.
func TestLoggerWrite(t *testing.T) {
	var out bytes.Buffer
	defer klog.CaptureState().Restore()
	klog.LogToStderr(false)
	klog.SetOutput(&out)
	now := base
	l := NewLogger(Options{Process: "b1", DataCentre: "casa1", Now: func() time.Time { return now }})
	l.Write(effect.Event{Name: "first", Detail: "a\nb"})
	now = base.Add(-time.Hour)
	l.Write(effect.Event{Name: "second", Detail: strings.Repeat("é", 1000)})
	now = base
	remote := clock.Stamp{Wall: base.Add(time.Second).UnixNano()}
	l.Observe(remote)
	l.Write(effect.Event{Name: "third"})
	klog.Flush()
	got := l.Ring().After(clock.Stamp{})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != 3 || len(lines) != 3 {
		t.Fatalf("got %v and lines %q, want 3 of each", got, lines)
	}
	for i, r := range got {
		wantParsed(t, lines[i], r)
		if i > 0 && r.Compare(got[i-1]) <= 0 {
			t.Errorf("%v follows %v", r, got[i-1])
		}
	}
	if n := len(got[1].Event.Detail); n > maxText || got[2].At.Compare(remote) <= 0 {
		t.Errorf("detail of %d bytes, want at most %d; event at %v, want it after %v", n, maxText, got[2].At, remote)
	}
}

// Guards against a ring that grows without bound, and against a reader that is
// not told of overwritten events.
func TestRingAfter(t *testing.T) {
	at := func(n int) clock.Stamp { return clock.Stamp{Wall: int64(n)} }
	g := NewRing(3)
	for n := 1; n <= 5; n++ {
		g.Add(Record{Process: "b1", At: at(n), Event: effect.Event{Name: fmt.Sprint("e", n)}})
	}
	for after, want := range []string{EventOverwritten + " e3 e4 e5 ", EventOverwritten + " e3 e4 e5 ", "e3 e4 e5 ", "e4 e5 ", "e5 ", ""} {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			got := ""
			for _, r := range g.After(at(after)) {
				got += r.Event.Name + " "
			}
			if got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// Guards against an error kind or refuse reason that is missing from
// docs/errors.md, and against entries for removed ones.
func TestErrorsPageIsComplete(t *testing.T) {
	page, _ := os.ReadFile("../../docs/errors.md")
	kinds, reasons, _ := strings.Cut(string(page), "## Refuse reasons")
	check := func(section string, name func(uint8) string) {
		want, got := map[string]bool{}, map[string]bool{}
		for n := range 256 {
			want[name(uint8(n))] = true
		}
		for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(section, -1) {
			got[m[1]] = true
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("docs/errors.md (-code +page):\n%s", d)
		}
	}
	check(kinds, func(n uint8) string { return fault.Kind(n).String() })
	check(reasons, func(n uint8) string { return packet.Reason(n).String() })
}
