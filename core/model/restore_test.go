package model

import (
	"slices"
	"testing"
)

func assertSupersedes(t *testing.T, in, old Routing, want bool) {
	t.Helper()
	if got := in.Supersedes(old); got != want {
		t.Errorf("version %d at %s supersedes version %d at %s: %v, want %v", in.Version, in.Position, old.Version, old.Position, got, want)
	}
}

func routing(version, era, revision uint64) Routing {
	return Routing{Version: version, Position: Position{Era: era, Revision: revision}}
}

// Guards against a configuration that is not put in force, or is replaced by an
// older one, because a restored store has issued its revision again.
func TestRoutingOfRestoredStore(t *testing.T) {
	inForce := routing(13, 1, 23)
	t.Run("reissued revision", func(t *testing.T) { assertSupersedes(t, routing(16, 2, 23), inForce, true) })
	t.Run("lower revision", func(t *testing.T) { assertSupersedes(t, routing(16, 2, 7), inForce, true) })
	t.Run("older copy", func(t *testing.T) { assertSupersedes(t, routing(10, 2, 22), inForce, false) })
	t.Run("older copy with more writes", func(t *testing.T) { assertSupersedes(t, routing(10, 2, 90), inForce, false) })
	t.Run("written again", func(t *testing.T) { assertSupersedes(t, routing(13, 2, 22), inForce, true) })
	t.Run("late answer of the former era", func(t *testing.T) { assertSupersedes(t, routing(13, 1, 23), routing(13, 2, 22), false) })
	t.Run("none", func(t *testing.T) { assertSupersedes(t, Routing{}, inForce, false) })
}

// Guards against positions of two eras that are compared by their revisions.
func TestPositionOrder(t *testing.T) {
	want := []Position{{}, {Era: 1, Revision: 5}, {Era: 1, Revision: 90}, {Era: 2, Revision: 4}, {Era: 2, Revision: 6}, {Era: 3, Revision: 1}}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, Position.Compare)
	if !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}
