package model

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against records of removed routes that accumulate over the life of a
// process, and against a removed route that is taken for an unknown one, whose
// flows get no reply.
func TestRemovedRoutes(t *testing.T) {
	a, b := netip.MustParseAddrPort("198.18.0.1:80"), netip.MustParseAddrPort("198.18.0.2:80")
	start := time.Unix(1e9, 0)
	both := Routing{}.WithRoutes([]Route{{Address: a}, {Address: b}})
	only := Routing{}.WithRoutes([]Route{{Address: a}})
	first := only.WithPrevious(both, start, time.Minute)
	assertRemoved := func(t *testing.T, r Routing, want bool) {
		t.Helper()
		if got := r.RouteRemoved(b); got != want {
			t.Errorf("RouteRemoved = %v, want %v", got, want)
		}
	}
	t.Run("at once", func(t *testing.T) { assertRemoved(t, first, true) })
	t.Run("kept over the next change", func(t *testing.T) {
		assertRemoved(t, only.WithPrevious(first, start.Add(59*time.Second), time.Minute), true)
	})
	t.Run("discarded", func(t *testing.T) {
		assertRemoved(t, only.WithPrevious(first, start.Add(time.Minute), time.Minute), false)
	})
	t.Run("back", func(t *testing.T) { assertRemoved(t, both.WithPrevious(first, start, time.Minute), false) })
}
