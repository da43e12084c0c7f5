package locks

import "testing"

// Guards against a deadlock between tables: taking a lock out of rank order
// must panic every time, not only when two goroutines block each other.
func TestMutexRankOrder(t *testing.T) {
	lock := func(h *Holder, ranks ...Rank) (panicked bool) {
		defer func() { panicked = recover() != nil }()
		ms := make([]Mutex, len(ranks))
		for i, r := range ranks {
			ms[i].Lock(h, r)
		}
		return false
	}
	for _, tc := range []struct {
		name  string
		ranks []Rank
		want  bool
	}{
		{"ascending", []Rank{RankView, RankUpstreams, RankFlows}, false},
		{"descending", []Rank{RankFlows, RankUpstreams}, true},
		{"same rank twice", []Rank{RankUpstreams, RankUpstreams}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var h Holder
			if got := lock(&h, tc.ranks...); got != tc.want {
				t.Errorf("lock(%v) panicked = %v, want %v", tc.ranks, got, tc.want)
			}
		})
	}
}
