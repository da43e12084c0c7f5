package roster

import (
	"testing"
	"time"

	"egretdock/core/model"
)

// restored returns the position of a revision after the store was restored once.
func restored(revision uint64) model.Position { return model.Position{Era: 2, Revision: revision} }

// entry returns the entry of an instance that has been running since the given
// time and has written it so often.
func entry(id uint64, position model.Position, startMillis, sequence uint64) model.Instance {
	in := instance(id, 0)
	in.Position, in.StartMillis, in.Sequence = position, startMillis, sequence
	return in
}

func changes(list ...model.InstanceChange) []model.InstanceChange { return list }

// lostSeconds returns a roster of three instances. Instance 1 has drained and
// instance 3 has registered after the copy that the store is restored from.
func lostSeconds() Roster {
	first := changes(written(entry(1, at(5), 100, 3)), written(entry(2, at(6), 100, 3)))
	return Roster{}.WithList(start, first, at(10)).WithChanges(start, changes(
		draining(entry(1, at(20), 100, 9)), written(entry(3, at(21), 500, 1)),
	), at(21))
}

// copyList is the list of a store that was restored from before the changes of
// lostSeconds.
func copyList() []model.InstanceChange {
	return changes(written(entry(1, restored(5), 100, 3)), written(entry(2, restored(6), 100, 3)))
}

// Guards against lists of a restored store that are taken for old ones, so that
// changes are not in force until the revision exceeds that of before.
func TestRestoredStoreIsNewer(t *testing.T) {
	r := lostSeconds().WithList(start, copyList(), restored(11))
	if r.Position != restored(11) {
		t.Errorf("position %s, want %s", r.Position, restored(11))
	}
	t.Run("later change with a reissued revision", func(t *testing.T) {
		assertStatus(t, r.WithChanges(start, changes(draining(entry(2, restored(21), 100, 12))), restored(21)), 2, StatusDraining)
	})
	t.Run("late answer of the former era", func(t *testing.T) {
		assertStatus(t, r.WithChanges(start, changes(draining(entry(2, at(30), 100, 12))), at(30)), 2, StatusReady)
		assertStatus(t, r.WithList(start, nil, at(31)), 2, StatusReady)
	})
	t.Run("changes without a list of the era", func(t *testing.T) {
		next := lostSeconds().WithChanges(start, changes(draining(entry(2, restored(30), 100, 12))), restored(30))
		if next.Position != at(21) {
			t.Errorf("position %s, want %s until the entries of the new era are listed", next.Position, at(21))
		}
	})
}

// Guards against new flows to an instance that has announced its end, because a
// restored store shows its entry of before.
func TestRestoredStoreUndoesNoDrain(t *testing.T) {
	t.Run("draining", func(t *testing.T) {
		assertStatus(t, lostSeconds().WithList(start, copyList(), restored(11)), 1, StatusDraining)
	})
	t.Run("gone", func(t *testing.T) {
		r := lostSeconds().WithChanges(start, changes(removed(1)), at(22))
		assertStatus(t, r, 1, StatusGone)
		assertStatus(t, r.WithList(start, copyList(), restored(11)), 1, StatusGone)
	})
	t.Run("entry expires", func(t *testing.T) {
		r := lostSeconds().WithList(start, copyList(), restored(11))
		r = r.WithChanges(start.Add(OpenFlowGrace), changes(removed(1)), restored(12))
		assertStatus(t, r, 1, StatusGone)
	})
	t.Run("restarted under its ID", func(t *testing.T) {
		r := lostSeconds().WithList(start, copyList(), restored(11))
		assertStatus(t, r.WithChanges(start, changes(written(entry(1, restored(12), 700, 1))), restored(12)), 1, StatusReady)
	})
	t.Run("restarted with its clock set back", func(t *testing.T) {
		r := lostSeconds().WithList(start, copyList(), restored(11))
		assertStatus(t, r.WithChanges(start, changes(written(entry(1, restored(12), 90, 1))), restored(12)), 1, StatusReady)
	})
}

// Guards against resets of the flows of an instance that has registered after the
// copy was made, and against keeping it once it is known to be gone.
func TestRestoredStoreLacksEntry(t *testing.T) {
	r := lostSeconds().WithList(start, copyList(), restored(11))
	assertStatus(t, r, 3, StatusLapsed)
	t.Run("written again", func(t *testing.T) {
		back := r.WithChanges(start, changes(written(entry(3, restored(12), 500, 4))), restored(12))
		assertStatus(t, after(t, back, time.Hour), 3, StatusReady)
	})
	t.Run("not written again", func(t *testing.T) {
		assertStatus(t, after(t, r, OpenFlowGrace-1), 3, StatusLapsed)
		assertStatus(t, after(t, r, OpenFlowGrace), 3, StatusGone)
	})
	t.Run("it was draining", func(t *testing.T) {
		drained := lostSeconds().WithChanges(start, changes(draining(entry(3, at(22), 500, 2))), at(22))
		late := start.Add(time.Hour)
		assertStatus(t, drained.WithList(late, copyList(), restored(11)), 3, StatusDeparting)
	})
	t.Run("its address had another entry in the copy", func(t *testing.T) {
		former := entry(4, restored(4), 50, 9)
		former.Endpoint = entry(3, at(0), 0, 0).Endpoint
		assertStatus(t, lostSeconds().WithList(start, append(copyList(), written(former)), restored(11)), 3, StatusLapsed)
	})
}

// Guards against an instance that stays lost although the restored store lists it:
// writes that only raise its sequence make no event.
func TestRestoredStoreListsLapsedEntry(t *testing.T) {
	lapsed := lostSeconds().WithChanges(start, changes(removed(2)), at(22))
	t.Run("lapsed", func(t *testing.T) {
		assertStatus(t, lapsed, 2, StatusLapsed)
		assertStatus(t, lapsed.WithList(start, copyList(), restored(11)), 2, StatusReady)
	})
	t.Run("gone", func(t *testing.T) {
		gone := after(t, lapsed, OpenFlowGrace)
		assertStatus(t, gone, 2, StatusGone)
		assertStatus(t, gone.WithList(start.Add(OpenFlowGrace), copyList(), restored(11)), 2, StatusReady)
	})
	t.Run("its address belongs to a later instance", func(t *testing.T) {
		next := entry(4, at(23), 600, 1)
		next.Endpoint = entry(2, at(0), 0, 0).Endpoint
		r := lapsed.WithChanges(start, changes(written(next)), at(23))
		assertStatus(t, r, 2, StatusGone)
		assertStatus(t, r.WithList(start, copyList(), restored(11)), 2, StatusGone)
	})
}

// Guards against peers that keep entries which the store has lost: changes since
// a position of another era can't be told from the list.
func TestChangesSinceFormerEra(t *testing.T) {
	r := lostSeconds().WithList(start, copyList(), restored(30))
	if _, full := r.ChangesSince(at(21)); !full {
		t.Error("changes since a position of the former era, want the full list")
	}
	if list, full := r.ChangesSince(restored(30)); full || len(list) > 0 {
		t.Errorf("changes %+v (full %v) since the same position, want none", list, full)
	}
}
