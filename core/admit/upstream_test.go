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

// filled returns an upstream whose 2 slots and class queue are taken by customer
// a, with flows counted from 1.
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

// Guards against retransmissions that take a second place, work without a slot
// that takes one, and refusals without a reason or a time to return.
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

// Guards against a lost item: whoever loses its place or its time must be told.
func TestExpire(t *testing.T) {
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
		assertDropped(t, u.Expire(testStart), packet.ReasonOverload, 18)
		assertDropped(t, u.Expire(testStart), packet.ReasonOverload)
	})
	t.Run("deadline", func(t *testing.T) {
		u := filled()
		it := opening("b", 100)
		it.Deadline = testStart.Add(time.Second)
		u.Offer(testStart, it, newRand())
		u.Expire(testStart)
		assertDropped(t, u.Expire(it.Deadline.Add(-1)), packet.ReasonDeadline)
		assertDropped(t, u.Expire(it.Deadline), packet.ReasonDeadline, 100)
	})
	t.Run("removed", func(t *testing.T) {
		u := filled()
		if !u.Remove(Key{Flow: 5}) || u.Remove(Key{Flow: 5}) || u.Remove(Key{Flow: 1}) {
			t.Error("Remove must report true once for a queued item only")
		}
		assertLoad(t, u, 2, 15)
	})
}

// Guards against capacity that is held for requests that never come, and
// against taking it from those that came.
func TestLapse(t *testing.T) {
	u := filled()
	u.Transfer(Key{Flow: 1}, Key{Flow: 1, Request: 7})
	assertLapsed := func(at time.Duration, want int) {
		t.Helper()
		if got := u.Lapse(testStart.Add(at)); len(got) != want {
			t.Errorf("%d grants lapsed at %v, want %d", len(got), at, want)
		}
	}
	assertLapsed(500*time.Millisecond-1, 0)
	assertLapsed(500*time.Millisecond, 1)
	assertLoad(t, u, 1, 16)
	if u.Transfer(Key{Flow: 2}, Key{Flow: 2, Request: 1}) {
		t.Error("a grant that lapsed was transferred")
	}
}

// Guards against a new incarnation that is filled at once.
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
	var l concurrency
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

// Guards against items that get lost or counted twice between the queue and the
// slots, over 20,000 random commands of a seed.
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
			k := u.next().queue[0].Key
			u.Remove(k)
			delete(queued, k)
		case 7:
			for _, it := range u.Lapse(now) {
				delete(running, it.Key)
			}
		}
		for _, d := range u.Expire(now) {
			delete(queued, d.Item.Key)
		}
		if assertLoad(t, u, len(running), len(queued)); t.Failed() {
			t.Fatalf("after command %d", i)
		}
	}
}

// BenchmarkCycle measures a refused and a queued offer, a finish and the grant of
// the next item under a flood of 100 customers.
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
		u.Expire(now)
	}
}
