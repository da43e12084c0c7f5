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

var base = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func record(e effect.Event) Record {
	return Record{Process: "casa1-b1", DataCentre: "casa1", At: clock.Stamp{Wall: base.UnixNano()}, Event: e}
}

func wantSame(t *testing.T, line string, want Record) {
	t.Helper()
	got, err := Parse(line)
	if err != nil {
		t.Fatalf("Parse(%q): %v", line, err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("Parse(%q) (-want +got):\n%s", line, d)
	}
}

// Guards against a value with spaces, quotes or line breaks splitting a line
// or forging a field.
func TestLineQuoting(t *testing.T) {
	for _, detail := range []string{
		"plain", "two words", `say "x"`, "a=b", "back\\slash", "line\nprocess=x event=y", "naïve \xff", " ", "\x00", "`",
	} {
		t.Run(fmt.Sprintf("%q", detail), func(t *testing.T) {
			r := record(effect.Event{Name: "flow_open", Flow: 1<<64 - 1, Customer: "o'neil & co", Upstream: "u1", Revision: 12, Detail: detail})
			line := r.String()
			if strings.ContainsAny(line, "\r\n") {
				t.Errorf("%q is more than one line", line)
			}
			wantSame(t, line, r)
			wantSame(t, "I1204 08:00:00.000000      12 engine.go:3] "+line+"\n", r)
		})
	}
}

// Guards against fields that are empty cluttering the lines, and against a
// changed format going unnoticed.
func TestLineLeavesOutEmptyFields(t *testing.T) {
	got := record(effect.Event{Name: "tick", Detail: "a b"}).String()
	want := `process=casa1-b1 data_centre=casa1 at=2026-12-04T08:00:00.000000000Z/0 event=tick detail="a b"`
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// Guards against a damaged line being read as another event.
func TestParseRejects(t *testing.T) {
	line := record(effect.Event{Name: "tick", Detail: "a b"}).String()
	for name, bad := range map[string]string{
		"cut in a quote":    line[:len(line)-1],
		"cut after a space": line[:strings.LastIndex(line, "detail")],
		"field twice":       line + " event=other",
		"no event":          strings.ReplaceAll(line, "event=tick ", ""),
		"no stamp":          regexp.MustCompile(`at=\S+ `).ReplaceAllString(line, ""),
		"flow not a number": line + " flow=x",
		"quote in bare":     line + ` customer=a"b`,
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := Parse(bad); fault.KindOf(err) != fault.KindInvalid {
				t.Errorf("Parse(%q) = %v, %v; want an error of kind invalid", bad, got, err)
			}
		})
	}
}

// Guards against input that the parser accepts but that changes when it is
// written again, and against a panic on any input.
func FuzzParse(f *testing.F) {
	f.Add(record(effect.Event{Name: "tick", Flow: 3, Detail: "a \"b\"\n"}).String())
	f.Add(`I1204 08:00:00.000000 1 a.go:1] process=a at=2026-12-04T08:00:00.000000000Z/0 event="" x=1`)
	f.Fuzz(func(t *testing.T, line string) {
		if r, err := Parse(line); err == nil {
			wantSame(t, r.String(), r)
		}
	})
}

// Guards against an event that is lost, split or doubled between the log and
// the ring, and against stamps that step back with the physical clock.
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
	remote := clock.Stamp{Wall: base.Add(time.Second).UnixNano()}
	now = base
	if !l.Observe(remote) {
		t.Fatal("a stamp within the bound was refused")
	}
	l.Write(effect.Event{Name: "third"})
	klog.Flush()

	got := l.Ring().After(clock.Stamp{})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != 3 || len(lines) != 3 {
		t.Fatalf("%d records and %d lines, want 3 of each: %q", len(got), len(lines), lines)
	}
	for i, r := range got {
		wantSame(t, lines[i], r)
		if i > 0 && r.At.Compare(got[i-1].At) <= 0 {
			t.Errorf("%v follows %v", r.At, got[i-1].At)
		}
	}
	if got[2].At.Compare(remote) <= 0 {
		t.Errorf("event at %v after the receipt of a message from %v", got[2].At, remote)
	}
	if n := len(got[1].Event.Detail); n > maxText {
		t.Errorf("detail of %d bytes, want at most %d", n, maxText)
	}
}

// Guards against unbounded memory, and against a reader that takes the rest of
// an overwritten ring for all events.
func TestRingAfter(t *testing.T) {
	at := func(n int) clock.Stamp { return clock.Stamp{Wall: int64(n)} }
	g := NewRing(3)
	for n := 1; n <= 5; n++ {
		g.Add(Record{Process: "b1", At: at(n), Event: effect.Event{Name: fmt.Sprint("e", n)}})
	}
	for _, tc := range []struct {
		after int
		want  string
	}{
		{0, NameOverwritten + " e3 e4 e5"}, {1, NameOverwritten + " e3 e4 e5"}, {2, "e3 e4 e5"}, {4, "e5"}, {5, ""},
	} {
		t.Run(fmt.Sprint("after ", tc.after), func(t *testing.T) {
			var names []string
			for _, r := range g.After(at(tc.after)) {
				names = append(names, r.Event.Name)
			}
			if got := strings.Join(names, " "); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against an error kind or refuse reason that operators meet and
// docs/errors.md does not explain, and against entries for removed ones.
func TestErrorsPageIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	kinds, reasons, ok := strings.Cut(string(page), "## Refuse reasons")
	if !ok {
		t.Fatal("no section on refuse reasons")
	}
	check := func(name, section string, str func(uint8) string) {
		t.Run(name, func(t *testing.T) {
			want := map[string]bool{}
			for n := range 256 {
				want[str(uint8(n))] = true
			}
			got := map[string]bool{}
			for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(section, -1) {
				got[m[1]] = true
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("docs/errors.md (-code +page):\n%s", d)
			}
		})
	}
	check("kinds", kinds, func(n uint8) string { return fault.Kind(n).String() })
	check("reasons", reasons, func(n uint8) string { return packet.Reason(n).String() })
}
