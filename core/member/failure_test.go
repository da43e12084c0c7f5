package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"egretdock/core/member"
	"egretdock/core/model"
)

// removalLimit bounds the time from a failure to the removal of the balancer
// from all views of a small fleet: one probe round of a data centre of four
// (2 s), an unanswered probe (0.8 s), suspicion (3 s), and the spread of the
// update (2 s).
const removalLimit = 8 * time.Second

// settledFleet returns a fleet of 16 in 4 data centres whose cold start is
// over.
func settledFleet(t *testing.T, seed uint64) *fleet {
	f := startFleet(t, seed, 16, 4)
	f.settle(removalLimit)
	f.run(5 * time.Second)
	return f
}

// runWithSeeds runs a test whose course depends on the order of probes with
// several seeds.
func runWithSeeds(t *testing.T, name string, test func(*testing.T, *fleet)) {
	for i := range uint64(20) {
		t.Run(fmt.Sprintf("%s/seed %d", name, seed+i), func(t *testing.T) { test(t, settledFleet(t, seed+i)) })
	}
}

// partitionAfter returns a partition between the first n data centres and the
// others.
func partitionAfter(n int) func(from, to model.Balancer) bool {
	side := func(b model.Balancer) bool { return b.DataCentre < balancer(n, 16).DataCentre }
	return func(from, to model.Balancer) bool { return side(from) != side(to) }
}

func assertSeenBy(t *testing.T, f *fleet, name string, want int) {
	t.Helper()
	if got := f.seenBy(name); got != want {
		t.Errorf("%s is live in %d views, want %d (seed %d)", name, got, want, f.seed)
	}
}

func assertViewsAgree(t *testing.T, f *fleet, group []*node) {
	t.Helper()
	if !f.viewsAgree(group) {
		t.Errorf("views of %d balancers differ from the running set (seed %d)", len(group), f.seed)
	}
}

func assertSettled(t *testing.T, f *fleet, n *node, want bool) {
	t.Helper()
	if got := n.Settled(f.now); got != want {
		t.Errorf("%s: Settled() = %v, want %v", n.Self().Name, got, want)
	}
}

func assertIncarnationAbove(t *testing.T, n *node, above uint64) {
	t.Helper()
	if got := n.Self().Incarnation; got <= above {
		t.Errorf("%s: incarnation %d, want above %d", n.Self().Name, got, above)
	}
}

func TestFailures(t *testing.T) {
	// Guards against a dead balancer that keeps its upstreams.
	t.Run("death", func(t *testing.T) {
		f := settledFleet(t, seed)
		f.nodes[3].stopped = true
		name := f.nodes[3].Self().Name
		f.await("removal", removalLimit, func() bool { return f.seenBy(name) == 0 })
		assertViewsAgree(t, f, f.nodes)
	})
	// Guards against the removal of a live suspect whose refutation is late: 1 s
	// before the removal it must be probed directly.
	t.Run("final probe", func(t *testing.T) {
		f := settledFleet(t, seed)
		n, suspect, begin := f.nodes[0], f.nodes[3].Self(), f.now
		var asked []time.Duration
		f.drops = func(from, to model.Balancer) bool {
			if from.Name == n.Self().Name && to.Name == suspect.Name {
				asked = append(asked, f.now.Sub(begin))
			}
			return from.Name == n.Self().Name || to.Name == n.Self().Name
		}
		n.Receive(f.now, &member.Ping{Header: member.Header{From: f.nodes[1].Self(), Updates: []member.Update{{Balancer: suspect, Status: member.StatusSuspect}}}}, n.rnd)
		f.run(2900 * time.Millisecond)
		if !slices.ContainsFunc(asked, func(d time.Duration) bool { return d >= 2*time.Second && d <= 2*time.Second+tick }) {
			t.Errorf("the suspect was probed after %v, want after 2 s", asked)
		}
	})
	// Guards against the removal of a balancer that only some peers can't reach.
	t.Run("one link down", func(t *testing.T) {
		f := settledFleet(t, seed)
		a, b := f.nodes[0].Self(), f.nodes[4].Self()
		f.drops = func(from, to model.Balancer) bool {
			return from.Name == a.Name && to.Name == b.Name || from.Name == b.Name && to.Name == a.Name
		}
		f.run(time.Minute)
		assertViewsAgree(t, f, f.nodes)
		if got := f.nodes[4].Self(); got != b {
			t.Errorf("balancer refuted a suspicion: %+v, want %+v", got, b)
		}
	})
	// Guards against the removal of a live balancer after a short network failure.
	runWithSeeds(t, "false suspicion", func(t *testing.T, f *fleet) {
		b := f.nodes[3].Self()
		f.drops = func(from, to model.Balancer) bool { return from.Name == b.Name || to.Name == b.Name }
		f.run(2500 * time.Millisecond)
		f.drops = nil
		for range 100 {
			f.run(100 * time.Millisecond)
			assertSeenBy(t, f, b.Name, 15)
		}
		assertIncarnationAbove(t, f.nodes[3], b.Incarnation)
		assertViewsAgree(t, f, f.nodes)
	})
	// Guards against views that keep a stopped process instead of its successor of
	// the same name.
	runWithSeeds(t, "restart", func(t *testing.T, f *fleet) {
		b := f.nodes[3].Self()
		b.Incarnation += 1000
		b.Peer = balancer(903, 4).Peer
		f.add(b)
		f.await("replacement", 3*time.Second, func() bool {
			assertSeenBy(t, f, b.Name, 15)
			return f.viewsAgree(f.nodes)
		})
	})
	// Guards against a fleet that rejects a restarted process because its clock
	// was behind and its incarnation is lower than the known one.
	t.Run("restart with lower incarnation", func(t *testing.T) {
		f := settledFleet(t, seed)
		b := f.nodes[3].Self()
		n := f.add(b.WithIncarnation(b.Incarnation - 1000))
		f.settle(removalLimit)
		assertIncarnationAbove(t, n, b.Incarnation)
	})
	// Guards against a leaving balancer that keeps ownership, that becomes
	// unreachable while requests are in flight, or that delayed updates bring
	// back.
	runWithSeeds(t, "leave", func(t *testing.T, f *fleet) {
		n := f.nodes[3]
		name := n.Self().Name
		n.Leave(f.now)
		assertSettled(t, f, n, false)
		// Eight peers are told at once, and they tell more.
		f.run(200 * time.Millisecond)
		if got := f.seenBy(name); got > 7 {
			t.Errorf("%d views still have the leaving balancer after 200 ms, want at most 7", got)
		}
		f.await("end of ownership", 3*time.Second, func() bool { return f.seenBy(name) == 0 })
		f.run(25 * time.Second)
		for _, m := range f.nodes {
			if _, ok := m.View().Reachable(name); !ok {
				t.Errorf("%s can't reach the leaving balancer", m.Self().Name)
			}
		}
		n.stopped = true
		f.run(time.Minute)
		assertSeenBy(t, f, name, 0)
		if _, ok := f.nodes[0].View().Reachable(name); ok {
			t.Error("the balancer is reachable a minute after its exit")
		}
	})
}

func TestPause(t *testing.T) {
	for _, tc := range []struct {
		name    string
		pause   time.Duration
		removed bool
	}{
		// Guards against two owners after a pause longer than the suspicion
		// timeout, when no peer has removed the balancer yet.
		{"unnoticed", 3200 * time.Millisecond, false},
		// Guards against a fleet that does not take back a balancer that it removed
		// during a pause.
		{"removed", 20 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := settledFleet(t, seed)
			n := f.nodes[3]
			before := n.Self()
			n.paused = true
			f.run(tc.pause)
			if tc.removed {
				assertSeenBy(t, f, before.Name, 0)
			}
			assertSettled(t, f, n, false)
			out := n.Receive(f.now, &member.Ping{Header: member.Header{From: f.nodes[4].Self()}}, n.rnd)
			if got := out[0].Message.(*member.Ack).From; got.Incarnation <= before.Incarnation {
				t.Errorf("first ack is from incarnation %d, want above %d", got.Incarnation, before.Incarnation)
			}
			f.resume(n)
			assertSettled(t, f, n, false)
			assertIncarnationAbove(t, n, before.Incarnation)
			f.await("settled", removalLimit, func() bool { return n.Settled(f.now) })
			f.settle(removalLimit)
		})
	}
	// Guards against false suspicions by a process that was paused for less than
	// the suspicion timeout: it ticks twice before it reads the acks that wait in
	// its socket buffer.
	t.Run("short", func(t *testing.T) {
		f := settledFleet(t, seed)
		n := f.nodes[3]
		f.size = func(m member.Message) int {
			_, ok := m.(*member.Ping)
			return map[bool]int{true: 1}[ok]
		}
		n.sent = 0
		f.await("probe", time.Second, func() bool { return n.sent > 0 })
		before := make([]model.Balancer, len(f.nodes))
		n.paused = true
		f.run(900 * time.Millisecond)
		for i, m := range f.nodes {
			before[i] = m.Self()
		}
		f.send(n, n.Tick(f.now, n.rnd))
		f.send(n, n.Tick(f.now, n.rnd))
		f.resume(n)
		f.run(5 * time.Second)
		for i, m := range f.nodes {
			if m != n && m.Self() != before[i] {
				t.Errorf("%s was suspected", m.Self().Name)
			}
		}
	})
	// Guards against a balancer that never acts as an owner because no peer
	// answers.
	t.Run("alone", func(t *testing.T) {
		f := startFleet(t, seed, 1, 1)
		f.run(time.Second)
		assertSettled(t, f, f.nodes[0], false)
		f.run(5 * time.Second)
		assertSettled(t, f, f.nodes[0], true)
	})
}

// Guards against unreachable balancers that stay owners during a partition, and
// against views that stay apart after it.
func TestPartition(t *testing.T) {
	f := settledFleet(t, seed)
	f.drops = partitionAfter(2)
	var a, b []*node
	for _, n := range f.nodes {
		if n.Self().DataCentre < "dc-02" {
			a = append(a, n)
		} else {
			b = append(b, n)
		}
	}
	f.await("two sides", 2*removalLimit, func() bool { return f.viewsAgree(a) && f.viewsAgree(b) })
	// Longer than Config.DeadRetention.
	f.run(6 * time.Minute)
	assertViewsAgree(t, f, a)
	f.drops = nil
	took := f.settle(15 * time.Second)
	t.Logf("healed after %v", took)
}

func TestStaleUpdates(t *testing.T) {
	f := settledFleet(t, seed)
	dead := f.nodes[3].Self()
	f.nodes[3].stopped = true
	f.await("removal", removalLimit, func() bool { return f.seenBy(dead.Name) == 0 })
	n := f.nodes[0]
	// Node 1 repeats an update from before the death.
	stale := member.Header{Seq: 1, From: f.nodes[1].Self(), Updates: []member.Update{{Balancer: dead}}}
	receive := func(m member.Message) []member.Envelope { return n.Receive(f.now, m, n.rnd) }

	// Guards against a dead balancer that a delayed update brings back.
	t.Run("not revived", func(t *testing.T) {
		receive(&member.Ping{Header: stale})
		receive(&member.Page{Header: stale})
		receive(&member.Ping{Header: member.Header{Seq: 2, From: dead}})
		assertSeenBy(t, f, dead.Name, 0)
	})
	// Guards against a sender that keeps spreading the stale update.
	t.Run("sender is corrected", func(t *testing.T) {
		// The death is queued as an update for less than a minute, so that the ack
		// then carries it only as a correction.
		f.run(time.Minute)
		for _, s := range receive(&member.Ping{Header: stale}) {
			for _, u := range s.Message.(*member.Ack).Updates {
				if u.Balancer.Name == dead.Name && u.Status == member.StatusDead {
					return
				}
			}
		}
		t.Error("the ack does not say that the balancer is dead")
	})
	// Guards against a joining balancer that takes a stale update for a new one.
	t.Run("remembered by newcomers", func(t *testing.T) {
		n := member.New(balancer(99, 4), member.Config{})
		death := stale
		death.Updates = []member.Update{{Balancer: model.Balancer{Name: dead.Name, Incarnation: dead.Incarnation}, Status: member.StatusDead}}
		n.Receive(f.now, &member.Ping{Header: death}, f.rnd)
		n.Receive(f.now, &member.Ping{Header: stale}, f.rnd)
		if _, ok := n.View().Get(dead.Name); ok {
			t.Error("the dead balancer is live")
		}
	})
	// Guards against a record that is kept forever for each dead balancer.
	t.Run("forgotten when unlisted", func(t *testing.T) {
		n.SetHosts(f.now, f.hosts[4:])
		f.run(6 * time.Minute)
		receive(&member.Ping{Header: stale})
		if _, ok := n.View().Get(dead.Name); !ok {
			t.Error("the dead incarnation is still remembered")
		}
	})
}

func TestHostList(t *testing.T) {
	f := settledFleet(t, seed)
	n := f.nodes[0]
	// Guards against ownership by a host that is listed but does not run.
	t.Run("listed but silent", func(t *testing.T) {
		silent := balancer(50, 4)
		n.SetHosts(f.now, append(f.hosts[:16:16], silent))
		f.run(10 * time.Second)
		assertSeenBy(t, f, silent.Name, 0)
	})
	// Guards against a new balancer that is ignored because the host list lags.
	t.Run("running but not listed", func(*testing.T) {
		f.add(balancer(16, 4))
		f.settle(removalLimit)
	})
	// Guards against a live balancer that is removed because the host list lags.
	t.Run("removed from the list", func(t *testing.T) {
		n.SetHosts(f.now, f.hosts[:4])
		assertViewsAgree(t, f, f.nodes)
		f.run(10 * time.Second)
		assertViewsAgree(t, f, f.nodes)
	})
	// Guards against a quarantine that ends while a listed balancer may still
	// serve an old revision.
	t.Run("lowest revision", func(t *testing.T) {
		n.SetHosts(f.now, f.hosts)
		for _, m := range f.nodes {
			m.SetRevision(5)
		}
		f.await("revision 5", 10*time.Second, func() bool { return n.LowestRevision("dc-00") == 5 })
		f.add(f.nodes[4].Self().WithIncarnation(f.nodes[4].Self().Incarnation + 1))
		f.await("restart seen", 3*time.Second, func() bool { return n.LowestRevision("dc-00") == 0 })
		f.nodes[4].SetRevision(6)
		f.await("revision 6", 10*time.Second, func() bool { return n.LowestRevision("dc-00") == 5 })
		if b, revision, ok := n.Newest(); !ok || revision != 6 || b != f.nodes[4].Self() {
			t.Errorf("Newest() = %v, %d, %v, want %v, 6", b, revision, ok, f.nodes[4].Self())
		}
	})
}
