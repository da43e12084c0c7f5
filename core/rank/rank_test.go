package rank

import (
	"fmt"
	"testing"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("u%03d", i)
	}
	return out
}

func first(r Ranking, flow uint64) int {
	t := r.Top(flow)
	return t.At(0)
}

const flows = 150_000

// Guards against flows that move between upstreams that did not change.
func TestRemovalMovesOnlyItsFlows(t *testing.T) {
	all, without := New(names(15)), New(names(14))
	for flow := range uint64(flows) {
		was, now := first(all, flow), first(without, flow)
		if was != 14 && was != now {
			t.Fatalf("flow %d moved from %d to %d", flow, was, now)
		}
	}
}

// Guards against shares that differ more than chance explains: 10,000 flows for
// each of 15 names have a standard deviation of 1%.
func TestSharesAreEven(t *testing.T) {
	r := New(names(15))
	var count [15]int
	for flow := range uint64(flows) {
		count[first(r, flow)]++
	}
	for i, n := range count {
		if n < 9_600 || n > 10_400 {
			t.Errorf("name %d is first for %d flows, want 10,000 within 4 standard deviations", i, n)
		}
	}
}

// Guards against a candidate that is listed twice.
func TestTopIsDistinct(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 15} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := New(names(n))
			for flow := range uint64(1000) {
				top, seen := r.Top(flow), map[int]bool{}
				for i := range top.Len() {
					seen[top.At(i)] = true
				}
				if len(seen) != min(n, TopSize) {
					t.Fatalf("flow %d has %d distinct candidates, want %d", flow, len(seen), min(n, TopSize))
				}
			}
		})
	}
}

func BenchmarkTop(b *testing.B) {
	for _, n := range []int{6, 15, 500} {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			r := New(names(n))
			b.ReportAllocs()
			var flow uint64
			for b.Loop() {
				flow++
				first(r, flow)
			}
		})
	}
}
