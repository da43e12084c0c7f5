package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"egretdock/core/model"
	"egretdock/core/packet"
)

var testStart = time.Unix(1e9, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// opening returns the opening of a flow of a customer in the first class.
func opening(customer string, flow uint64) Item {
	return Item{Key: Key{Flow: flow}, Customer: customer, Weight: 1, Class: simClasses[0]}
}

// filled returns an upstream whose 2 slots and class queue are taken by
// customer a, with flows counted from 1.
func filled() *Upstream {
	u := &Upstream{}
	for i := range uint64(defaultSlots + model.DefaultQueueLimit) {
		u.Offer(testStart, opening("a", i+1), newRand())
	}
	return u
}

func assertLoad(t *testing.T, u *Upstream, inFlight, queued int) {
	t.Helper()
	if l := u.Load(); l.InFlight != inFlight || l.Queued != queued {
		t.Errorf("Load = %+v, want %d in flight and %d queued", l, inFlight, queued)
	}
}

// Guards against retransmissions that are granted or queued twice, work that
// takes a slot it does not need, and rejections without a reason or a retry
// time.
func TestOffer(t *testing.T) {
	with := func(it Item, f func(*Item)) Item {
		f(&it)
		return it
	}
	feed := with(opening("b", 100), func(it *Item) { it.Class.Kind = model.KindFeed })
	upload := with(opening("b", 100), func(it *Item) { it.Class.Kind = model.KindUpload })
	other := with(opening("b", 100), func(it *Item) { it.Class = simClasses[1] })
	for _, tc := range []struct {
		name   string
		u      *Upstream
		it     Item
		want   Verdict
		queued int
	}{
		{"room", &Upstream{}, opening("a", 1), Granted{}, 0},
		{"granted before", filled(), opening("a", 1), Granted{}, 16},
		{"queued before", filled(), opening("a", 5), Queued{Length: 16}, 16},
		{"feed", filled(), feed, Granted{}, 16},
		{"opening of an upload", filled(), upload, Granted{}, 16},
		{"another class", filled(), other, Queued{Length: 17}, 17},
		{"full, own queue is longest", filled(), opening("a", 100), Rejected{Reason: packet.ReasonOverload}, 16},
		{"full, another is longest", filled(), opening("b", 100), Queued{Length: 16}, 16},
		{"past its deadline", &Upstream{}, with(opening("a", 1), func(it *Item) { it.Deadline = testStart }), Rejected{Reason: packet.ReasonDeadline}, 0},
		{"can't finish", filled(), with(opening("a", 100), func(it *Item) { it.Deadline = testStart.Add(100 * time.Millisecond) }), Rejected{Reason: packet.ReasonDeadline}, 16},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inFlight := tc.u.Load().InFlight
			got := tc.u.Offer(testStart, tc.it, newRand())
			if _, ok := tc.want.(Granted); ok && holdsCapacity(tc.it) && inFlight == 0 {
				inFlight++
			}
			if r, ok := got.(Rejected); ok {
				if inFlight > 0 && r.RetryAfter < minRetryAfter/2 {
					t.Errorf("RetryAfter = %v, want at least %v", r.RetryAfter, minRetryAfter/2)
				}
				r.RetryAfter = 0
				got = r
			}
			if got != tc.want {
				t.Errorf("Offer = %#v, want %#v", got, tc.want)
			}
			assertLoad(t, tc.u, inFlight, tc.queued)
		})
	}
}

// Guards against queued items that are displaced or expire without being
// returned to the caller.
func TestExpireQueued(t *testing.T) {
	assertDropped := func(t *testing.T, got []Dropped, reason packet.Reason, flows ...uint64) {
		t.Helper()
		if len(got) != len(flows) {
			t.Fatalf("%d dropped, want %d", len(got), len(flows))
		}
		for i, d := range got {
			if d.Item.Key.Flow != flows[i] || d.Reason != reason {
				t.Errorf("dropped flow %d for %s, want %d for %s", d.Item.Key.Flow, d.Reason, flows[i], reason)
			}
		}
	}
	t.Run("displaced", func(t *testing.T) {
		u := filled()
		u.Offer(testStart, opening("b", 100), newRand())
		assertDropped(t, u.ExpireQueued(testStart), packet.ReasonOverload, 18)
		assertDropped(t, u.ExpireQueued(testStart), packet.ReasonOverload)
	})
	t.Run("deadline", func(t *testing.T) {
		u := filled()
		it := opening("b", 100)
		it.Deadline = testStart.Add(time.Second)
		u.Offer(testStart, it, newRand())
		u.ExpireQueued(testStart)
		assertDropped(t, u.ExpireQueued(it.Deadline.Add(-1)), packet.ReasonDeadline)
		assertDropped(t, u.ExpireQueued(it.Deadline), packet.ReasonDeadline, 100)
	})
	t.Run("removed", func(t *testing.T) {
		u := filled()
		if !u.Remove(Key{Flow: 5}) || u.Remove(Key{Flow: 5}) || u.Remove(Key{Flow: 1}) {
			t.Error("Remove must report true once for a queued item only")
		}
		assertLoad(t, u, 2, 15)
	})
}

// Guards against capacity that is held for requests that never arrive, and
// against the expiry of grants whose request arrived.
func TestExpireGrants(t *testing.T) {
	u := filled()
	u.Transfer(Key{Flow: 1}, Key{Flow: 1, Request: 7})
	assertExpired := func(at time.Duration, want int) {
		t.Helper()
		if got := u.ExpireGrants(testStart.Add(at)); len(got) != want {
			t.Errorf("%d grants expired at %v, want %d", len(got), at, want)
		}
	}
	assertExpired(500*time.Millisecond-1, 0)
	assertExpired(500*time.Millisecond, 1)
	assertLoad(t, u, 1, 16)
	if u.Transfer(Key{Flow: 2}, Key{Flow: 2, Request: 1}) {
		t.Error("an expired grant was transferred")
	}
}

// Guards against a new incarnation that gets its full load at once.
func TestSlowStart(t *testing.T) {
	u := NewUpstream(testStart)
	u.SetSlots(8)
	for at, want := range map[time.Duration]int{0: 1, time.Second: 2, 2500 * time.Millisecond: 5, 5 * time.Second: 8} {
		u.now = testStart.Add(at)
		if got := u.Load().Limit; got != want {
			t.Errorf("Limit = %d at %v, want %d", got, at, want)
		}
	}
}

// Guards against a limit that sheds drive below 1 or that grows without bound,
// and against sheds that do not lower it.
func TestLimitBounds(t *testing.T) {
	var l concurrencyLimit
	l = l.WithSlots(1000)
	now := testStart
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		l = l.WithAnswer(now, 1, 1, true)
		if got := l.At(now); got < minLimit || got > maxLimit {
			t.Fatalf("limit %d after %d answers", got, i)
		}
	}
	for range 100 {
		before := l.At(now)
		now = now.Add(time.Millisecond)
		l = l.WithShed(now, now)
		if got := l.At(now); got >= before && before > minLimit || got < minLimit {
			t.Fatalf("limit %d after a shed at %d", got, before)
		}
	}
}

// simulateGrants runs rounds in which every grant lasts for the time given by
// hold and every customer keeps as many items queued as backlog gives. It
// returns the slot time of each customer.
func simulateGrants(u *Upstream, from, rounds int, backlog map[string]int, weight func(string) float64, hold func(string) time.Duration) map[string]time.Duration {
	rnd, now := newRand(), testStart.Add(time.Duration(from)*time.Second)
	used := make(map[string]time.Duration)
	flow := uint64(from) << 32
	for range rounds {
		for _, name := range []string{"a", "b"} {
			for range backlog[name] {
				flow++
				it := opening(name, flow)
				it.Weight = weight(name)
				u.Offer(now, it, rnd)
			}
		}
		for _, ok := u.Pop(now); ok; _, ok = u.Pop(now) {
		}
		u.ExpireQueued(now)
		g := u.running[0]
		now = now.Add(hold(g.item.Customer))
		used[g.item.Customer] += now.Sub(g.grantedAt)
		u.Finish(now, g.item.Key, Abandoned{})
	}
	return used
}

// Guards against a customer that gets more than its weight: by sending more, by
// having been idle, by slow requests or by openings without requests.
func TestCustomerShares(t *testing.T) {
	equal := func(string) float64 { return 1 }
	service := func(string) time.Duration { return simService }
	slowA := func(name string) time.Duration {
		if name == "a" {
			return 5 * simService
		}
		return simService
	}
	for _, tc := range []struct {
		name    string
		backlog map[string]int
		before  int
		weight  func(string) float64
		hold    func(string) time.Duration
		want    float64
	}{
		{"floods", map[string]int{"a": 10, "b": 1}, 0, equal, service, 1},
		{"was idle", map[string]int{"a": 2, "b": 2}, 300, equal, service, 1},
		{"has weight 3", map[string]int{"a": 3, "b": 3}, 0, func(name string) float64 { return map[string]float64{"a": 3, "b": 1}[name] }, service, 3},
		{"is slow", map[string]int{"a": 2, "b": 2}, 0, equal, slowA, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := &Upstream{}
			u.SetSlots(1)
			simulateGrants(u, 0, tc.before, map[string]int{"b": 2}, tc.weight, tc.hold)
			used := simulateGrants(u, 100, 300, tc.backlog, tc.weight, tc.hold)
			if got := float64(used["a"]) / float64(used["b"]); got < 0.9*tc.want || got > 1.1*tc.want {
				t.Errorf("a used %.2f times the slot time of b, want %.1f", got, tc.want)
			}
		})
	}
}

// Guards against an order of grants that follows arrival instead of priority,
// and against the drop of a heavy customer's items for a light one's.
func TestPriorityAndWeight(t *testing.T) {
	u := filled()
	urgent := opening("b", 100)
	urgent.Class = model.Class{Name: "urgent", Priority: 9}
	u.Offer(testStart, urgent, newRand())
	u.classes[0].model.MinShare = 0
	u.classes[1].used = 100
	u.Finish(testStart, Key{Flow: 1}, Abandoned{})
	if it, ok := u.Pop(testStart); !ok || it.Key != urgent.Key {
		t.Errorf("Pop = %v, %v, want the urgent item", it.Key, ok)
	}
	heavy := opening("b", 0)
	heavy.Weight = 100
	for i := range uint64(10) {
		heavy.Key.Flow = 200 + i
		if _, ok := u.Offer(testStart, heavy, newRand()).(Queued); !ok {
			t.Errorf("flow %d of the heavy customer was not queued", heavy.Key.Flow)
		}
	}
	if _, ok := u.Offer(testStart, opening("a", 250), newRand()).(Rejected); !ok {
		t.Error("a light customer with 6 items displaced a heavy one with 10")
	}
	favoured := opening("c", 300)
	favoured.Class = favoured.Class.WithPriority(200)
	u.Offer(testStart, favoured, newRand())
	u.classes[0].model.MinShare = 0
	u.Finish(testStart, Key{Flow: 2}, Abandoned{})
	if it, ok := u.Pop(testStart); !ok || it.Key != favoured.Key {
		t.Errorf("Pop = %v, %v, want the item of the customer with the higher priority", it.Key, ok)
	}
}

// Guards against rejected clients that all retry at the same time.
func TestRetryAfterVaries(t *testing.T) {
	u, rnd := filled(), newRand()
	seen := make(map[time.Duration]bool)
	for i := range uint64(10) {
		if r, ok := u.Offer(testStart, opening("a", 100+i), rnd).(Rejected); ok {
			seen[r.RetryAfter] = true
		}
	}
	if len(seen) < 9 {
		t.Errorf("%d different RetryAfter in 10 refusals", len(seen))
	}
}

// Guards against estimates that grant work which cannot finish in time, or that
// reject a class forever once they are wrong.
func TestEstimates(t *testing.T) {
	u := filled()
	u.classes[0].holdTime = u.classes[0].holdTime.WithSample(testStart, time.Second)
	u.now = testStart
	item := func(flow uint64, d time.Duration) Item {
		it := opening("b", flow)
		it.Deadline = testStart.Add(d)
		return it
	}
	t.Run("too late when its turn comes", func(t *testing.T) {
		late := item(100, 30*time.Second)
		u.Offer(testStart, late, newRand())
		u.ExpireQueued(testStart)
		now := late.Deadline.Add(-100 * time.Millisecond)
		u.Finish(now, Key{Flow: 1}, Abandoned{})
		for it, ok := u.Pop(now); ok; it, ok = u.Pop(now) {
			if it.Key == late.Key {
				t.Error("an item without time to finish was granted")
			}
			u.Finish(now, it.Key, Abandoned{})
		}
	})
	t.Run("wrong estimate without running items", func(t *testing.T) {
		u := filled()
		other := item(100, 400*time.Millisecond)
		other.Class = simClasses[1]
		u.classState(other.Class).holdTime = latencyStats{mean: 10, samples: 1}
		if v := u.Offer(testStart, other, newRand()); v != (Queued{Length: 17}) {
			t.Errorf("Offer = %#v, want a place in the queue", v)
		}
	})
}

// Guards against sheds of one burst that each lower the limit, and against
// growth back into the load at which an upstream sheds.
func TestShedBurst(t *testing.T) {
	l := concurrencyLimit{slots: 10}
	now := testStart.Add(time.Second)
	for range 10 {
		l = l.WithShed(now, testStart)
	}
	if got := l.At(now); got != 7 {
		t.Errorf("limit %d after one burst of sheds at 10, want 7", got)
	}
	for at := time.Duration(0); at < growthPause; at += simService {
		l = l.WithAnswer(now.Add(at), 1, 1, true)
	}
	if got := l.At(now.Add(growthPause)); got != 7 {
		t.Errorf("limit %d within %v after a shed, want 7", got, growthPause)
	}
}

// Guards against items that are lost or counted twice between the queue and the
// slots, over 20,000 random calls from a fixed seed.
func TestCountsAgree(t *testing.T) {
	rnd := newRand()
	u := &Upstream{}
	now := testStart
	queued, running := make(map[Key]bool), make(map[Key]bool)
	for i := range uint64(20_000) {
		now = now.Add(time.Duration(rnd.IntN(10)) * time.Millisecond)
		switch rnd.IntN(8) {
		case 0, 1, 2, 3:
			it := opening(string(rune('a'+rnd.IntN(5))), i+1)
			it.Class, it.Deadline = simClasses[rnd.IntN(3)], now.Add(simTimeout)
			switch u.Offer(now, it, rnd).(type) {
			case Granted:
				running[it.Key] = true
			case Queued:
				queued[it.Key] = true
			case Rejected:
			}
		case 4:
			if len(running) == 0 {
				continue
			}
			k := u.running[rnd.IntN(len(running))].item.Key
			u.Finish(now, k, []Outcome{Answered{Latency: simService}, Shed{}, Abandoned{}}[rnd.IntN(3)])
			delete(running, k)
		case 5:
			if it, ok := u.Pop(now); ok {
				delete(queued, it.Key)
				running[it.Key] = true
			}
		case 6:
			if len(queued) == 0 {
				continue
			}
			k := u.nextCustomer().queue[0].Key
			u.Remove(k)
			delete(queued, k)
		case 7:
			for _, it := range u.ExpireGrants(now) {
				delete(running, it.Key)
			}
		}
		for _, d := range u.ExpireQueued(now) {
			delete(queued, d.Item.Key)
		}
		if assertLoad(t, u, len(running), len(queued)); t.Failed() {
			t.Fatalf("after call %d", i)
		}
	}
}

// BenchmarkCycle measures a rejected and a queued offer, a finish and the grant
// of the next item under a flood of 100 customers.
func BenchmarkCycle(b *testing.B) {
	b.ReportAllocs()
	rnd := newRand()
	u := &Upstream{}
	now := testStart
	names := make([]string, 100)
	for i := range names {
		names[i] = "customer-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
	}
	var ended Outcome = Answered{Latency: simService}
	flow := uint64(0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		for range 2 {
			flow++
			it := opening(names[flow%100], flow)
			it.Deadline = now.Add(simTimeout)
			u.Offer(now, it, rnd)
		}
		u.Finish(now, u.running[0].item.Key, ended)
		for _, ok := u.Pop(now); ok; _, ok = u.Pop(now) {
		}
		u.ExpireQueued(now)
	}
}
