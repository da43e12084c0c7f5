package clock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var base = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func wantAfter(t interface {
	Helper()
	Fatalf(string, ...any)
}, a, b Stamp,
) {
	t.Helper()
	if a.Compare(b) <= 0 || b.Compare(a) >= 0 {
		t.Fatalf("%v is not after %v", a, b)
	}
}

// Guards against an effect stamped before its cause: the stamp of a receipt
// must exceed the sender's, however the two physical clocks are set within
// MaxDrift of each other, and also when a clock steps back.
func TestReceiptIsAfterSending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clocks [2]Stamp
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			from := rapid.IntRange(0, 1).Draw(t, "from")
			skew := func(who string) time.Time {
				return base.Add(time.Duration(rapid.Int64Range(0, int64(MaxDrift)).Draw(t, who)))
			}
			sent := clocks[from].Tick(skew("sender"))
			wantAfter(t, sent, clocks[from])
			clocks[from] = sent
			got, ok := clocks[1-from].Merge(skew("receiver"), sent)
			if !ok {
				t.Fatalf("a stamp within MaxDrift was refused: %v", sent)
			}
			wantAfter(t, got, sent)
			wantAfter(t, got, clocks[1-from])
			clocks[1-from] = got
		}
	})
}

// Guards against one host with a wrong clock moving the logical time of the
// whole fleet.
func TestMergeBoundsDrift(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ahead time.Duration
		want  bool
	}{
		{"at the bound", MaxDrift, true},
		{"beyond the bound", MaxDrift + 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			remote := Stamp{}.Tick(base.Add(tc.ahead))
			got, ok := Stamp{}.Merge(base, remote)
			if ok != tc.want || (got.Compare(remote) > 0) != tc.want {
				t.Errorf("Merge = %v, %v; want adopted = %v", got, ok, tc.want)
			}
		})
	}
}

// Guards against a full counter wrapping round to an earlier stamp.
func TestTickOverflow(t *testing.T) {
	full := Stamp{Wall: base.UnixNano(), Count: maxCount}
	wantAfter(t, full.Tick(base), full)
}

// Guards against stamps that change, or malformed ones that are accepted, when
// a line is read back.
func TestParse(t *testing.T) {
	for _, s := range []Stamp{{}, {Wall: base.UnixNano(), Count: 7}, {Wall: -1, Count: maxCount}} {
		t.Run(s.String(), func(t *testing.T) {
			if got, err := Parse(s.String()); err != nil || got != s {
				t.Errorf("Parse = %v, %v; want %v", got, err, s)
			}
		})
	}
	for _, text := range []string{
		"", "2026-12-04T08:00:00Z/1", "2026-12-04T08:00:00.000000000Z", "2026-12-04T08:00:00.000000000Z/01",
		"2026-12-04T08:00:00.000000000Z/4294967296", "9999-12-04T08:00:00.000000000Z/0",
	} {
		t.Run("malformed "+text, func(t *testing.T) {
			if got, err := Parse(text); err == nil {
				t.Errorf("Parse accepted it as %v", got)
			}
		})
	}
}
