package model

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against dropped routes that add up over the life of a process, and
// against flows of a dropped route that are left silent.
func TestDroppedRoutes(t *testing.T) {
	a, b := netip.MustParseAddrPort("198.18.0.1:80"), netip.MustParseAddrPort("198.18.0.2:80")
	start := time.Unix(1e9, 0)
	both := Routing{}.WithRoutes([]Route{{Address: a}, {Address: b}})
	only := Routing{}.WithRoutes([]Route{{Address: a}})
	first := only.WithPrevious(both, start, time.Minute)
	assertDropped := func(t *testing.T, r Routing, want bool) {
		t.Helper()
		if got := r.RouteRemoved(b); got != want {
			t.Errorf("Dropped = %v, want %v", got, want)
		}
	}
	t.Run("at once", func(t *testing.T) { assertDropped(t, first, true) })
	t.Run("kept over the next change", func(t *testing.T) {
		assertDropped(t, only.WithPrevious(first, start.Add(59*time.Second), time.Minute), true)
	})
	t.Run("forgotten", func(t *testing.T) {
		assertDropped(t, only.WithPrevious(first, start.Add(time.Minute), time.Minute), false)
	})
	t.Run("back", func(t *testing.T) { assertDropped(t, both.WithPrevious(first, start, time.Minute), false) })
}
