package feed

import (
	"context"
	"testing"
	"time"

	"egretdock/platform"
)

// Guards against waits that exceed the bound of a deployment: a silent store is
// noticed, or a silent reader noticed and the store read, before it is over.
func TestTimingKeepsBound(t *testing.T) {
	for _, bound := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 5 * time.Second, 19 * time.Second} {
		tm, within := timingOf(bound), bound
		if within == 0 {
			within = DefaultChangeDeadline
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

// listedSource notes how it is listed.
type listedSource struct {
	source
	bounded bool
	how     platform.ListOptions
}

func (l *listedSource) list(ctx context.Context, how platform.ListOptions) (uint64, error) {
	_, l.bounded = ctx.Deadline()
	l.how = how
	return 1, nil
}

// Guards against a list of thousands of instances that is given up and begun
// again for ever, because its pages together take longer than one answer may.
func TestListHasNoBoundAsAWhole(t *testing.T) {
	f, s := &Feed{timing: timingOf(0)}, &listedSource{}
	if _, err := f.call(t.Context(), s, 0, platform.AllowStale); err != nil {
		t.Fatal(err)
	}
	if s.bounded || s.how.PageTimeout <= 0 {
		t.Errorf("list bounded as a whole: %v, page bounded by %v; want only pages bounded", s.bounded, s.how.PageTimeout)
	}
}
