package clock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var base = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func wantAfter(t rapid.TB, a, b Stamp) {
	t.Helper()
	if a.Compare(b) <= 0 || b.Compare(a) >= 0 {
		t.Fatalf("%v is not after %v", a, b)
	}
}

// Guards against a receipt that is stamped before the sending: the receiver's
// stamp must be greater than the sender's for any physical clocks within
// MaxDrift of each other, also when a clock steps back or Count is at its
// maximum.
func TestReceiptIsAfterSending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skewed := func(who string) time.Time {
			return base.Add(time.Duration(rapid.Int64Range(0, int64(MaxDrift)).Draw(t, who)))
		}
		count := rapid.SampledFrom([]uint32{0, maxCount})
		clocks := [2]Stamp{{base.UnixNano(), count.Draw(t, "count")}, {base.UnixNano(), count.Draw(t, "count")}}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			from := rapid.IntRange(0, 1).Draw(t, "from")
			sent := clocks[from].Tick(skewed("sender"))
			got, ok := clocks[1-from].Merge(skewed("receiver"), sent)
			if !ok {
				t.Fatalf("Merge rejected a stamp within MaxDrift: %v", sent)
			}
			wantAfter(t, sent, clocks[from])
			wantAfter(t, got, sent)
			wantAfter(t, got, clocks[1-from])
			clocks[from], clocks[1-from] = sent, got
		}
	})
}

// Guards against one host with a wrong clock that advances the logical time of
// the whole fleet.
func TestMergeBoundsDrift(t *testing.T) {
	for ahead, want := range map[time.Duration]bool{MaxDrift: true, MaxDrift + 1: false} {
		t.Run(ahead.String(), func(t *testing.T) {
			remote := Stamp{}.Tick(base.Add(ahead))
			got, ok := Stamp{}.Merge(base, remote)
			if ok != want || (got.Compare(remote) > 0) != want {
				t.Errorf("Merge = %v, %v; want adopted = %v", got, ok, want)
			}
		})
	}
}

// Guards against stamps that change when they are formatted and parsed again,
// and against malformed ones that are accepted.
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
				t.Errorf("Parse accepted malformed text as %v", got)
			}
		})
	}
}
