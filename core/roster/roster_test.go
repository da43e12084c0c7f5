package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretdock/core/model"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// at returns the position of a revision in the first era.
func at(revision uint64) model.Position { return model.Position{Era: 1, Revision: revision} }

func instance(id uint64, revision uint64) model.Instance {
	return model.Instance{
		ID: id, Name: fmt.Sprintf("i-%x", id), Service: "desk", Slots: 2, Position: at(revision),
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 8080),
	}
}

func written(in model.Instance) model.InstanceChange { return model.InstanceChange{Instance: in} }

func draining(in model.Instance) model.InstanceChange {
	in.Draining = true
	return written(in)
}

func removed(id uint64) model.InstanceChange {
	return model.InstanceChange{Kind: model.ChangeRemoved, Instance: model.Instance{ID: id}}
}

func unreadable(id uint64) model.InstanceChange {
	return model.InstanceChange{Kind: model.ChangeUnreadable, Instance: model.Instance{ID: id}}
}

func list(ids ...uint64) []model.InstanceChange {
	var out []model.InstanceChange
	for _, id := range ids {
		out = append(out, written(instance(id, id)))
	}
	return out
}

func assertStatus(t *testing.T, r Roster, id uint64, want Status) {
	t.Helper()
	if m, ok := r.Member(id); !ok || m.Status != want {
		t.Errorf("instance %d is %v (known %t), want %v", id, m.Status, ok, want)
	}
}

func assertForgotten(t *testing.T, r Roster, id uint64) {
	t.Helper()
	if m, ok := r.Member(id); ok {
		t.Errorf("instance %d is %v, want it forgotten", id, m.Status)
	}
}

func after(t *testing.T, r Roster, d time.Duration) Roster {
	t.Helper()
	next, _ := r.WithExpiry(start.Add(d))
	return next
}

// Guards against the loss of all instances when their entries lapse while the
// store is unavailable.
func TestLapsedEntries(t *testing.T) {
	r := Roster{}.WithList(start, list(1, 2), at(10)).WithList(start, list(2), at(11))
	t.Run("kept for the grace", func(t *testing.T) {
		assertStatus(t, after(t, r, OpenFlowGrace-1), 1, StatusLapsed)
	})
	t.Run("gone after the grace", func(t *testing.T) {
		assertStatus(t, after(t, r, OpenFlowGrace), 1, StatusGone)
	})
	t.Run("returned", func(t *testing.T) {
		back := r.WithChanges(start, []model.InstanceChange{written(instance(1, 12))}, at(12))
		assertStatus(t, after(t, back, time.Hour), 1, StatusReady)
	})
	t.Run("kept while the store is unavailable", func(t *testing.T) {
		unavailable := r.WithStoreUnavailable(start, true)
		assertStatus(t, after(t, unavailable, time.Hour), 1, StatusLapsed)
		back := unavailable.WithStoreUnavailable(start.Add(time.Hour), false)
		assertStatus(t, after(t, back, time.Hour+OpenFlowGrace-1), 1, StatusLapsed)
		assertStatus(t, after(t, back, time.Hour+OpenFlowGrace), 1, StatusGone)
	})
	t.Run("forgotten after the retention", func(t *testing.T) {
		gone := after(t, r, OpenFlowGrace)
		assertForgotten(t, after(t, gone, OpenFlowGrace+GoneRetention), 1)
	})
}

// Guards against new flows to an instance that has announced its end.
func TestDraining(t *testing.T) {
	r := Roster{}.WithList(start, list(1), at(10)).WithChanges(start, []model.InstanceChange{draining(instance(1, 11))}, at(11))
	assertStatus(t, r, 1, StatusDraining)
	assertStatus(t, r.WithChanges(start, []model.InstanceChange{removed(1)}, at(12)), 1, StatusGone)
	// Guards against resets of the flows of an instance that still serves when
	// its entry lapsed while the store was unavailable.
	t.Run("store unavailable", func(t *testing.T) {
		back := r.WithStoreUnavailable(start, true).WithList(start, nil, at(12))
		assertStatus(t, back, 1, StatusDeparting)
		back = back.WithStoreUnavailable(start, false)
		assertStatus(t, after(t, back, OpenFlowGrace-1), 1, StatusDeparting)
		assertStatus(t, after(t, back, OpenFlowGrace), 1, StatusGone)
		again := back.WithChanges(start, []model.InstanceChange{draining(instance(1, 13))}, at(13))
		assertStatus(t, again, 1, StatusDraining)
	})
}

// Guards against flows that get no reset although another instance has their
// instance's address, and against resets because another writer names the
// address of an instance that is still listed.
func TestReusedAddress(t *testing.T) {
	next := instance(2, 11)
	next.Endpoint = instance(1, 10).Endpoint
	both := Roster{}.WithList(start, list(1), at(10)).WithChanges(start, []model.InstanceChange{written(next)}, at(11))
	t.Run("while the entry is listed", func(t *testing.T) {
		assertStatus(t, both, 1, StatusReady)
		assertStatus(t, both, 2, StatusReady)
	})
	t.Run("entry vanishes later", func(t *testing.T) {
		assertStatus(t, both.WithChanges(start, []model.InstanceChange{removed(1)}, at(12)), 1, StatusGone)
	})
	t.Run("entry vanished before", func(t *testing.T) {
		r := Roster{}.WithList(start, list(1), at(10)).WithChanges(start, []model.InstanceChange{removed(1)}, at(10))
		assertStatus(t, r, 1, StatusLapsed)
		assertStatus(t, r.WithChanges(start, []model.InstanceChange{written(next)}, at(11)), 1, StatusGone)
	})
}

// Guards against resets of the flows of an instance whose entry another writer
// has overwritten.
func TestUnreadableEntry(t *testing.T) {
	r := Roster{}.WithList(start, list(1), at(10)).WithChanges(start, []model.InstanceChange{unreadable(1), unreadable(9)}, at(11))
	assertStatus(t, after(t, r, time.Hour), 1, StatusUnreadable)
	assertForgotten(t, r, 9)
}

// Guards against a delayed answer that restores an older state.
func TestOlderAnswers(t *testing.T) {
	r := Roster{}.WithList(start, list(1), at(10)).WithChanges(start, []model.InstanceChange{draining(instance(1, 11))}, at(11))
	assertStatus(t, r.WithList(start, list(1), at(10)), 1, StatusDraining)
	assertStatus(t, r.WithList(start, nil, at(9)), 1, StatusDraining)
	assertStatus(t, r.WithChanges(start, list(1), at(10)), 1, StatusDraining)
	assertStatus(t, r.WithChanges(start, list(1), at(11)), 1, StatusDraining)
}

// Guards against a restart under the same ID that goes unnoticed, so that the
// status keeps the start time of the former instance.
func TestRestartUnderSameID(t *testing.T) {
	again := instance(1, 11)
	again.StartMillis = 5
	r := Roster{}.WithList(start, list(1), at(10)).WithChanges(start.Add(time.Second), []model.InstanceChange{written(again)}, at(11))
	if m, _ := r.Member(1); !m.StatusSince.Equal(start.Add(time.Second)) {
		t.Errorf("status since %v, want it to begin with the restart", m.StatusSince)
	}
}

// Guards against balancers that read from a peer and differ from it: from any
// revision, the peer's changes must lead to the same usable instances.
func TestChangesSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b Roster
		now := start
		revision := uint64(1)
		ids := rapid.Uint64Range(1, 6)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			revision++
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			id := ids.Draw(t, "id")
			change := rapid.SampledFrom([]model.InstanceChange{
				written(instance(id, revision)), draining(instance(id, revision)), removed(id), unreadable(id),
			}).Draw(t, "change")
			a = a.WithChanges(now, []model.InstanceChange{change}, at(revision))
			a, _ = a.WithExpiry(now)
			if rapid.Bool().Draw(t, "sync") {
				b = syncFrom(a, b, now)
				assertSameUsable(t, a, b)
			}
		}
		assertSameUsable(t, a, syncFrom(a, b, now))
	})
}

func syncFrom(from, to Roster, now time.Time) Roster {
	changes, full := from.ChangesSince(to.Position)
	if full {
		return to.WithList(now, changes, from.Position)
	}
	return to.WithChanges(now, changes, from.Position)
}

func assertSameUsable(t *rapid.T, a, b Roster) {
	for id, m := range a.Members() {
		got, ok := b.Member(id)
		usable := m.Status == StatusReady || m.Status == StatusDraining
		if usable && (!ok || got.Status != m.Status || got.Instance != m.Instance) {
			t.Fatalf("instance %d is %v at the peer and %v (known %t) after its changes", id, m.Status, got.Status, ok)
		}
	}
	for id, m := range b.Members() {
		if have, ok := a.Member(id); m.Status == StatusReady && (!ok || have.Status != StatusReady) {
			t.Fatalf("instance %d is ready after the changes and %v at the peer (known %t)", id, have.Status, ok)
		}
	}
}
