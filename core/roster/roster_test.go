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

func instance(id uint64, revision uint64) model.Instance {
	return model.Instance{
		ID: id, Name: fmt.Sprintf("i-%x", id), Service: "desk", Slots: 2, Revision: revision,
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

func hasStatus(t *testing.T, r Roster, id uint64, want Status) {
	t.Helper()
	if m, ok := r.Member(id); !ok || m.Status != want {
		t.Errorf("instance %d is %v (known %t), want %v", id, m.Status, ok, want)
	}
}

func isUnknown(t *testing.T, r Roster, id uint64) {
	t.Helper()
	if m, ok := r.Member(id); ok {
		t.Errorf("instance %d is %v, want it forgotten", id, m.Status)
	}
}

func after(t *testing.T, r Roster, d time.Duration) Roster {
	t.Helper()
	next, _ := r.WithTime(start.Add(d))
	return next
}

// Guards against the loss of all instances when their entries lapse while the
// store is away.
func TestLapsedEntries(t *testing.T) {
	r := Roster{}.WithList(start, list(1, 2), 10).WithList(start, list(2), 11)
	t.Run("kept for the grace", func(t *testing.T) {
		hasStatus(t, after(t, r, GoneAfter-1), 1, StatusLapsed)
	})
	t.Run("gone after the grace", func(t *testing.T) {
		hasStatus(t, after(t, r, GoneAfter), 1, StatusGone)
	})
	t.Run("back", func(t *testing.T) {
		back := r.WithChanges(start, []model.InstanceChange{written(instance(1, 12))}, 12)
		hasStatus(t, after(t, back, time.Hour), 1, StatusReady)
	})
	t.Run("kept while the store is away", func(t *testing.T) {
		away := r.WithStore(start, true)
		hasStatus(t, after(t, away, time.Hour), 1, StatusLapsed)
		back := away.WithStore(start.Add(time.Hour), false)
		hasStatus(t, after(t, back, time.Hour+GoneAfter-1), 1, StatusLapsed)
		hasStatus(t, after(t, back, time.Hour+GoneAfter), 1, StatusGone)
	})
	t.Run("forgotten in the end", func(t *testing.T) {
		gone := after(t, r, GoneAfter)
		isUnknown(t, after(t, gone, GoneAfter+KeepGone), 1)
	})
}

// Guards against new flows for an instance that has announced its end.
func TestDraining(t *testing.T) {
	r := Roster{}.WithList(start, list(1), 10).WithChanges(start, []model.InstanceChange{draining(instance(1, 11))}, 11)
	hasStatus(t, r, 1, StatusDraining)
	hasStatus(t, r.WithChanges(start, []model.InstanceChange{removed(1)}, 12), 1, StatusGone)
	// Guards against resets of an instance that still serves, when its entry has
	// lapsed while the store was away.
	t.Run("just after the store was away", func(t *testing.T) {
		back := r.WithStore(start, true).WithList(start, nil, 12)
		hasStatus(t, back, 1, StatusDeparting)
		back = back.WithStore(start, false)
		hasStatus(t, after(t, back, GoneAfter-1), 1, StatusDeparting)
		hasStatus(t, after(t, back, GoneAfter), 1, StatusGone)
		again := back.WithChanges(start, []model.InstanceChange{draining(instance(1, 13))}, 13)
		hasStatus(t, again, 1, StatusDraining)
	})
}

// Guards against flows that stay silent although their instance's address has
// another holder, and against resets because another writer names the address
// of an instance that is there.
func TestReusedAddress(t *testing.T) {
	next := instance(2, 11)
	next.Endpoint = instance(1, 10).Endpoint
	both := Roster{}.WithList(start, list(1), 10).WithChanges(start, []model.InstanceChange{written(next)}, 11)
	t.Run("while the entry is there", func(t *testing.T) {
		hasStatus(t, both, 1, StatusReady)
		hasStatus(t, both, 2, StatusReady)
	})
	t.Run("entry vanishes later", func(t *testing.T) {
		hasStatus(t, both.WithChanges(start, []model.InstanceChange{removed(1)}, 12), 1, StatusGone)
	})
	t.Run("entry vanished before", func(t *testing.T) {
		r := Roster{}.WithList(start, list(1), 10).WithChanges(start, []model.InstanceChange{removed(1)}, 10)
		hasStatus(t, r, 1, StatusLapsed)
		hasStatus(t, r.WithChanges(start, []model.InstanceChange{written(next)}, 11), 1, StatusGone)
	})
}

// Guards against resets of the flows of an instance whose entry another writer
// has overwritten.
func TestUnreadableEntry(t *testing.T) {
	r := Roster{}.WithList(start, list(1), 10).WithChanges(start, []model.InstanceChange{unreadable(1), unreadable(9)}, 11)
	hasStatus(t, after(t, r, time.Hour), 1, StatusUnreadable)
	isUnknown(t, r, 9)
}

// Guards against a slow answer that brings an older state back.
func TestOlderAnswers(t *testing.T) {
	r := Roster{}.WithList(start, list(1), 10).WithChanges(start, []model.InstanceChange{draining(instance(1, 11))}, 11)
	hasStatus(t, r.WithList(start, list(1), 10), 1, StatusDraining)
	hasStatus(t, r.WithList(start, nil, 9), 1, StatusDraining)
	hasStatus(t, r.WithChanges(start, list(1), 10), 1, StatusDraining)
	hasStatus(t, r.WithChanges(start, list(1), 11), 1, StatusDraining)
}

// Guards against a start under a known ID that is taken for the one before.
func TestRestartUnderSameID(t *testing.T) {
	again := instance(1, 11)
	again.StartMillis = 5
	r := Roster{}.WithList(start, list(1), 10).WithChanges(start.Add(time.Second), []model.InstanceChange{written(again)}, 11)
	if m, _ := r.Member(1); !m.Since.Equal(start.Add(time.Second)) {
		t.Errorf("status since %v, want it to begin with the new start", m.Since)
	}
}

// Guards against balancers that learn from a peer and differ from it: whatever
// revision one is at, the peer's news bring it to the same usable instances.
func TestSince(t *testing.T) {
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
			a = a.WithChanges(now, []model.InstanceChange{change}, revision)
			a, _ = a.WithTime(now)
			if rapid.Bool().Draw(t, "passed on") {
				b = passOn(a, b, now)
				sameUsable(t, a, b)
			}
		}
		sameUsable(t, a, passOn(a, b, now))
	})
}

func passOn(from, to Roster, now time.Time) Roster {
	changes, whole := from.Since(to.Revision)
	if whole {
		return to.WithList(now, changes, from.Revision)
	}
	return to.WithChanges(now, changes, from.Revision)
}

func sameUsable(t *rapid.T, a, b Roster) {
	for id, m := range a.Members() {
		got, ok := b.Member(id)
		usable := m.Status == StatusReady || m.Status == StatusDraining
		if usable && (!ok || got.Status != m.Status || got.Instance != m.Instance) {
			t.Fatalf("instance %d is %v at the peer and %v (known %t) after its news", id, m.Status, got.Status, ok)
		}
	}
	for id, m := range b.Members() {
		if have, ok := a.Member(id); m.Status == StatusReady && (!ok || have.Status != StatusReady) {
			t.Fatalf("instance %d is ready after the news and %v at the peer (known %t)", id, have.Status, ok)
		}
	}
}
