package cmds

import (
	"testing"
	"time"

	"egretdock/core/health"
	"egretdock/core/locks"
	"egretdock/core/table"
)

// Guards against a new incarnation that is limited by the default number of
// slots until its second report, although the first one contains the number.
func TestSlotsOfNewIncarnation(t *testing.T) {
	var h locks.Holder
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	st := &table.Upstream{}
	Observe(&h, now, st, health.Report{Incarnation: 1, Healthy: true, Slots: 6})
	if !Observe(&h, now, st, health.Report{Incarnation: 2, Healthy: true, Slots: 8}) {
		t.Fatal("the new incarnation is not noticed")
	}
	// The slow start is over after 5 s.
	st.Admit.ExpireQueued(now.Add(time.Minute))
	if n := st.Admit.Load().Limit; n != 8 {
		t.Errorf("limit is %d after the slow start, want the 8 slots reported", n)
	}
}
