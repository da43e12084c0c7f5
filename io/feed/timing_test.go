package feed

import (
	"testing"
	"time"
)

// Guards against waits that exceed the bound of a deployment: a silent store is
// noticed, or a silent reader noticed and the store read, before it is over.
func TestTimingKeepsBound(t *testing.T) {
	for _, bound := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 5 * time.Second, 19 * time.Second} {
		tm, within := timingOf(bound), bound
		if within == 0 {
			within = DefaultBound
		}
		below := func(what string, d, limit time.Duration) {
			t.Helper()
			if d <= 0 || d >= limit {
				t.Errorf("bound %v: %s is %v, want less than %v", bound, what, d, limit)
			}
		}
		below("silence of the store", tm.watchLimit, within)
		below("wait of a watch", tm.watchWait, tm.watchLimit)
		below("silence of the reader", tm.newsLimit, within/2)
		below("wait for news", tm.newsWait, tm.newsLimit)
		below("age of a silent reader's news", tm.watchLimit, tm.newsAge)
	}
}
