package fabric

import (
	"math/rand/v2"
	"testing"
	"time"
)

func wantCopies(t *testing.T, seed uint64, min, max int, faults ...Fault) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 4))
	n := 0
	for range 1000 {
		n += len(plan(rnd, faults))
	}
	if n < min || n > max {
		t.Errorf("1000 datagrams became %d copies, want %d to %d", n, min, max)
	}
}

// Guards against faults that do nothing or do too much, which would let a test
// under loss pass without loss.
func TestPlan(t *testing.T) {
	t.Run("no fault", func(t *testing.T) { wantCopies(t, 1, 1000, 1000) })
	t.Run("drop", func(t *testing.T) { wantCopies(t, 1, 850, 950, Drop{Share: 0.1}) })
	t.Run("duplicate", func(t *testing.T) { wantCopies(t, 1, 1050, 1150, Duplicate{Share: 0.1}) })
	t.Run("delay and reorder add up", func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(1, 4))
		for range 100 {
			d := plan(rnd, []Fault{Delay{Base: 3 * time.Millisecond}, Reorder{Share: 1, By: time.Millisecond}})
			if d[0] < 3*time.Millisecond || d[0] >= 4*time.Millisecond {
				t.Fatalf("delay %s, want 3 ms to 4 ms", d[0])
			}
		}
	})
}
