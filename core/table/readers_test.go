package table

import (
	"testing"

	"egretdock/core/model"
)

// Guards against an acknowledgement while a worker still holds packets that
// were routed by the older table.
func TestReadersAllReached(t *testing.T) {
	var rs Readers
	r := rs.Add()
	assertAllReached := func(t *testing.T, revision uint64, want bool) {
		t.Helper()
		if got := rs.AllReached(revision); got != want {
			t.Errorf("AllReached(%d) = %v, want %v", revision, got, want)
		}
	}
	view := func(n uint64) *View { return &View{Config: model.Config{}.WithRevision(n)} }
	t.Run("idle", func(t *testing.T) { assertAllReached(t, 9, true) })
	r.Enter(view(4))
	t.Run("in a batch of an older view", func(t *testing.T) { assertAllReached(t, 5, false) })
	r.Enter(view(5))
	t.Run("view changed within the batch", func(t *testing.T) { assertAllReached(t, 5, false) })
	r.Exit()
	r.Enter(view(5))
	t.Run("in a batch of the view itself", func(t *testing.T) { assertAllReached(t, 5, true) })
}
