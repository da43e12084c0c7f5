package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/io/gossip"
)

// trafficBudget is the stated bound on control traffic in bytes per second.
const trafficBudget = 3000

// datagramHeader is the size of the IPv4 and UDP headers.
const datagramHeader = 28

// messageSize returns a function that returns the bytes of a message on the
// network.
func messageSize(t testing.TB) func(member.Message) int {
	s, err := gossip.NewSealer(make([]byte, 32), 1<<63)
	if err != nil {
		t.Fatal(err)
	}
	return func(m member.Message) int { return len(s.Seal(m)) + datagramHeader }
}

// stubFleet is one balancer and stubs of the other balancers that it knows. The
// stubs answer each ping and pull, and ping the balancer as often as real ones.
type stubFleet struct {
	*fleet
	// updateEvery is the number of stub messages for each one with updates.
	// updates is the number of updates in it, and messages counts all messages.
	updateEvery, updates, messages int
}

func newStubFleet(t testing.TB, n, updateEvery, updates int) *stubFleet {
	f := &fleet{t: t, now: time.Unix(1_796_371_200, 0), rnd: rand.New(rand.NewPCG(seed, uint64(n))), index: map[string]int{}}
	for i := range n {
		f.hosts = append(f.hosts, balancer(i, 14))
	}
	f.add(f.hosts[0])
	f.size = func(member.Message) int { return 0 }
	s := &stubFleet{fleet: f, updateEvery: updateEvery, updates: updates}
	// Duplicates empty the queue of the updates that the first acks caused.
	for range 40 {
		for _, b := range f.hosts[1:] {
			s.receive(&member.Ack{Header: member.Header{From: b}})
		}
	}
	return s
}

// receive passes a message to the balancer and answers what it sends.
func (s *stubFleet) receive(m member.Message) {
	n := s.nodes[0]
	n.received += s.size(m)
	s.answer(n.Receive(s.now, m, n.rnd))
}

// header returns the header of a message from a random stub. Its updates report
// restarts.
func (s *stubFleet) header(seq uint64) member.Header {
	h := member.Header{Seq: seq, From: s.random(), Revision: 4700, Digest: 1}
	if s.messages++; s.messages%s.updateEvery == 0 {
		for range s.updates {
			b := s.random()
			b.Incarnation++
			s.hosts[s.indexOf(b.Name)] = b
			h.Updates = append(h.Updates, member.Update{Balancer: b})
		}
	}
	return h
}

func (s *stubFleet) random() model.Balancer { return s.hosts[1+s.rnd.IntN(len(s.hosts)-1)] }

func (s *stubFleet) answer(out []member.Envelope) {
	for _, m := range out {
		s.nodes[0].sent += s.size(m.Message)
		switch p := m.Message.(type) {
		case *member.Ping:
			h := s.header(p.Seq)
			h.From = s.hosts[s.indexOf(m.To.Name)]
			s.receive(&member.Ack{Header: h})
		case *member.Pull:
			page := &member.Page{Header: member.Header{Seq: p.Seq, From: m.To}}
			i := s.indexOf(p.After) + 1
			end := min(i+member.PageUpdates, len(s.hosts))
			for _, b := range s.hosts[i:end] {
				page.Updates = append(page.Updates, member.Update{Balancer: b})
			}
			if end < len(s.hosts) {
				page.Next = s.hosts[end-1].Name
			}
			s.receive(page)
		default:
		}
	}
}

func (s *stubFleet) indexOf(name string) int {
	return slices.IndexFunc(s.hosts, func(b model.Balancer) bool { return b.Name == name })
}

// run advances by a number of ticks. The stubs ping twice a second and pull a
// page every two seconds.
func (s *stubFleet) run(ticks int) {
	n := s.nodes[0]
	for i := range ticks {
		s.now = s.now.Add(tick)
		s.answer(n.Tick(s.now, n.rnd))
		if i%10 == 0 {
			s.receive(&member.Ping{Header: s.header(1)})
		}
		if i%40 == 0 {
			s.receive(&member.Pull{Header: s.header(1), After: s.random().Name})
		}
	}
}

// Guards against control traffic that grows with the fleet or exceeds its
// budget when many balancers change at once. The budget counts a message once,
// at its sender; at the target churn it holds for sent and received bytes
// together.
func TestTraffic(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		updateEvery, updates int
		received             bool
	}{
		// 1,730 failures and restarts a day are 0.02 per second, and each
		// causes up to three updates.
		{"target churn", 100, 1, true},
		{"each message full of updates", 1, member.MaxUpdates, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newStubFleet(t, 1000, tc.updateEvery, tc.updates)
			s.run(60 * 20)
			s.size = messageSize(t)
			s.run(60 * 20)
			sent, received := s.nodes[0].sent/60, s.nodes[0].received/60
			t.Logf("sent %d B/s, received %d B/s", sent, received)
			total := sent
			if tc.received {
				total += received
			}
			if total > trafficBudget {
				t.Errorf("%d B/s, want at most %d (seed %d)", total, trafficBudget, seed)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newStubFleet(b, n, 100, 1)
			s.run(20)
			b.ReportAllocs()
			b.ResetTimer()
			s.run(b.N)
		})
	}
}

func BenchmarkReceive(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1000} {
		for _, updates := range []int{0, member.MaxUpdates} {
			b.Run(fmt.Sprintf("%d/news-%d", n, updates), func(b *testing.B) {
				s := newStubFleet(b, n, 1, updates)
				s.run(20)
				b.ReportAllocs()
				for b.Loop() {
					s.receive(&member.Ping{Header: s.header(1)})
				}
			})
		}
	}
}

// BenchmarkFleet reports the simulated times from the death of a balancer to
// its removal and from its restart to a settled state, and the traffic per
// balancer in the minute from the death on.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f := startFleet(b, seed, n, min(14, n/4))
				b.ReportMetric(f.settle(time.Minute).Seconds(), "cold_start_s")
				f.run(30 * time.Second)
				f.size = messageSize(b)
				d := f.nodes[3]
				d.stopped = true
				begin, name := f.now, d.Self().Name
				f.await("first removal", time.Minute, func() bool { return f.seenBy(name) < n-1 })
				b.ReportMetric(f.now.Sub(begin).Seconds(), "first_removal_s")
				f.await("removal", time.Minute, func() bool { return f.seenBy(name) == 0 })
				b.ReportMetric(f.now.Sub(begin).Seconds(), "removal_s")
				again := f.add(d.Self().WithIncarnation(d.Self().Incarnation + 1000))
				b.ReportMetric(f.await("settled", time.Minute, func() bool { return again.Settled(f.now) }).Seconds(), "settled_s")
				f.settle(time.Minute)
				f.run(60*time.Second - f.now.Sub(begin))
				sent := 0
				for _, m := range f.nodes {
					sent += m.sent
				}
				b.ReportMetric(float64(sent)/60/float64(n), "B/s")
			}
		})
	}
}
