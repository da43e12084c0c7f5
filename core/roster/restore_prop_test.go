package roster

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretdock/core/model"
)

// registry models instances that write their entries, and the store that holds
// them, for a roster that follows it.
type registry struct {
	now    time.Time
	roster Roster

	position model.Position
	entries  map[uint64]model.Instance
	copied   map[uint64]model.Instance
	copiedAt model.Position

	// live holds the running instances as they are, drained the start of each
	// instance whose drain has reached the roster.
	live    map[uint64]model.Instance
	drained map[uint64]uint64
	starts  uint64
}

func newRegistry() *registry {
	return &registry{
		now: start, position: at(1), copiedAt: at(1), entries: map[uint64]model.Instance{}, copied: map[uint64]model.Instance{},
		live: map[uint64]model.Instance{}, drained: map[uint64]uint64{},
	}
}

func (g *registry) change(c model.InstanceChange) {
	g.position.Revision++
	c.Instance.Position = g.position
	delete(g.entries, c.Instance.ID)
	if c.Kind == model.ChangeWritten {
		g.entries[c.Instance.ID] = c.Instance
	}
	g.roster = g.roster.WithChanges(g.now, changes(c), g.position)
}

// write writes the entry of a live instance; only the sequence of an entry
// changes without an event.
func (g *registry) write(id uint64) {
	in := g.live[id]
	in.Sequence++
	g.live[id] = in
	if e, ok := g.entries[id]; ok && in.WithPosition(e.Position).WithSequence(e.Sequence) == e {
		g.entries[id] = e.WithSequence(in.Sequence)
		return
	}
	g.change(written(in))
	if in.Draining {
		g.drained[id] = in.StartMillis
	}
}

func (g *registry) startInstance(id uint64) {
	g.starts++
	in := entry(id, model.Position{}, 100+g.starts, 0)
	// Every second start gets the address of another instance.
	in.Endpoint = instance(1+(id+g.starts)%3, 0).Endpoint
	for _, other := range g.live {
		if other.Endpoint == in.Endpoint {
			return
		}
	}
	g.live[id] = in
	g.write(id)
}

// expire removes the entries of the instances that have ended.
func (g *registry) expire() {
	for id, e := range maps.Clone(g.entries) {
		if in, ok := g.live[id]; !ok || in.StartMillis != e.StartMillis {
			g.change(removed(id))
		}
	}
}

func (g *registry) restore() {
	g.entries = maps.Clone(g.copied)
	g.position = model.Position{Era: g.position.Era + 1, Revision: g.copiedAt.Revision}
	g.copiedAt = g.position
	var list []model.InstanceChange
	for id, e := range g.entries {
		e.Position.Era = g.position.Era
		g.entries[id] = e
		list = append(list, written(e))
	}
	g.copied = maps.Clone(g.entries)
	g.roster = g.roster.WithList(g.now, list, g.position)
}

func (g *registry) step(t *rapid.T) {
	id := rapid.Uint64Range(1, 4).Draw(t, "id")
	in, running := g.live[id]
	switch op := rapid.SampledFrom([]string{"start", "write", "drain", "end", "crash", "lapse", "expire", "copy", "restore", "wait"}).Draw(t, "op"); {
	case op == "start" && !running:
		g.startInstance(id)
	case op == "write" && running:
		g.write(id)
	case op == "drain" && running:
		in.Draining = true
		g.live[id] = in
		g.write(id)
	case op == "end" && running && in.Draining:
		delete(g.live, id)
		g.change(removed(id))
	case op == "crash" && running:
		delete(g.live, id)
	case op == "lapse" && running:
		g.change(removed(id))
	case op == "expire":
		g.expire()
	case op == "copy":
		g.copied, g.copiedAt = maps.Clone(g.entries), g.position
	case op == "restore":
		g.restore()
	case op == "wait":
		g.now = g.now.Add(time.Second)
		g.roster, _ = g.roster.WithExpiry(g.now)
	}
}

// assertNoDrainUndone fails if an instance gets new flows after its drain was seen.
func (g *registry) assertNoDrainUndone(t *rapid.T) {
	for id, startMillis := range g.drained {
		if m, ok := g.roster.Member(id); ok && m.Status == StatusReady && m.Instance.StartMillis == startMillis {
			t.Errorf("instance %d is ready again after it announced its end", id)
		}
	}
}

// assertSettled fails if the roster differs from the running instances once all of
// them have written their entries and those of the others have expired.
func (g *registry) assertSettled(t *rapid.T) {
	g.expire()
	for id := range g.live {
		g.write(id)
	}
	g.now = g.now.Add(OpenFlowGrace)
	g.roster, _ = g.roster.WithExpiry(g.now)
	for id, m := range g.roster.Members() {
		in, running := g.live[id]
		want := StatusGone
		switch {
		case running && in.Draining:
			want = StatusDraining
		case running:
			want = StatusReady
		}
		if m.Status != want || running && m.Instance.StartMillis != in.StartMillis {
			t.Errorf("instance %d is %v since start %d, want %v since %d", id, m.Status, m.Instance.StartMillis, want, in.StartMillis)
		}
	}
	for id := range g.live {
		if _, ok := g.roster.Member(id); !ok {
			t.Errorf("instance %d is unknown", id)
		}
	}
}

// Guards against instances that stay lost, stay in use after their end, or get new
// flows after they announced it, whatever the store was restored from and when.
func TestRosterFollowsRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRegistry()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			g.step(t)
			g.assertNoDrainUndone(t)
		}
		g.assertSettled(t)
	})
}
