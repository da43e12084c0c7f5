package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/member"
	"egretdock/core/model"
)

const (
	seed = 7
	// step is the resolution of the simulated clock and of message latency.
	step = 10 * time.Millisecond
	tick = 50 * time.Millisecond
)

// node is one simulated balancer.
type node struct {
	*member.State
	rnd *rand.Rand
	// A stopped process neither ticks nor receives. A paused one does not tick,
	// and its messages wait in inbox.
	stopped, paused bool
	// phase is the offset of the ticks in steps.
	phase          int
	inbox          []member.Message
	sent, received int
}

// fleet is a set of balancers with a simulated clock and network.
type fleet struct {
	t     testing.TB
	seed  uint64
	now   time.Time
	steps int
	rnd   *rand.Rand
	nodes []*node
	index map[string]int
	hosts []model.Balancer
	// inFlight holds the sent messages by arrival step.
	inFlight map[int][]delivery
	// drops reports whether the network drops a message.
	drops func(from, to model.Balancer) bool
	// size returns the bytes of a message on the network; nil disables counting.
	size func(member.Message) int
}

type delivery struct {
	to  int
	msg member.Message
}

func balancer(i, dcs int) model.Balancer {
	ip := netip.AddrFrom4([4]byte{10, byte(i % dcs), byte(i >> 8), byte(i)})
	return model.Balancer{
		Name: fmt.Sprintf("balancer-%04d", i), DataCentre: fmt.Sprintf("dc-%02d", i%dcs), Incarnation: 1_796_371_200_000,
		Peer: netip.AddrPortFrom(ip, 7100), Fetch: netip.AddrPortFrom(ip, 7101),
	}
}

// startFleet returns n listed balancers in dcs data centres that start at the
// same time.
func startFleet(t testing.TB, seed uint64, n, dcs int) *fleet {
	f := &fleet{
		t: t, seed: seed, now: time.Unix(1_796_371_200, 0), rnd: rand.New(rand.NewPCG(seed, uint64(n))),
		index: map[string]int{}, inFlight: map[int][]delivery{},
	}
	for i := range n {
		f.hosts = append(f.hosts, balancer(i, dcs))
	}
	for _, b := range f.hosts {
		f.add(b)
	}
	return f
}

// add starts a process and replaces the one of the same name, if any.
func (f *fleet) add(b model.Balancer) *node {
	i, ok := f.index[b.Name]
	if !ok {
		i = len(f.nodes)
		f.index[b.Name] = i
		f.nodes = append(f.nodes, nil)
	}
	f.nodes[i] = &node{State: member.New(b, member.Config{}), rnd: rand.New(rand.NewPCG(f.rnd.Uint64(), 0)), phase: f.rnd.IntN(int(tick / step))}
	f.nodes[i].SetHosts(f.now, f.hosts)
	return f.nodes[i]
}

// run advances the clock.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.steps++
		for _, m := range f.inFlight[f.steps] {
			f.deliver(m)
		}
		delete(f.inFlight, f.steps)
		for _, n := range f.nodes {
			if (f.steps+n.phase)%int(tick/step) == 0 && !n.stopped && !n.paused {
				f.send(n, n.Tick(f.now, n.rnd))
			}
		}
	}
}

func (f *fleet) deliver(m delivery) {
	switch n := f.nodes[m.to]; {
	case n.stopped:
	case n.paused:
		n.inbox = append(n.inbox, m.msg)
	default:
		if f.size != nil {
			n.received += f.size(m.msg)
		}
		f.send(n, n.Receive(f.now, m.msg, n.rnd))
	}
}

// send sends messages over the network with a latency of 10 to 40 ms.
func (f *fleet) send(n *node, out []member.Envelope) {
	for _, s := range out {
		if f.size != nil {
			n.sent += f.size(s.Message)
		}
		to, ok := f.index[s.To.Name]
		if !ok || f.drops != nil && f.drops(n.Self(), s.To) {
			continue
		}
		at := f.steps + 1 + f.rnd.IntN(4)
		f.inFlight[at] = append(f.inFlight[at], delivery{to: to, msg: s.Message})
	}
}

// resume ends a pause. The messages in the inbox are received before the next
// tick, as from a socket buffer.
func (f *fleet) resume(n *node) {
	n.paused = false
	for _, m := range n.inbox {
		f.send(n, n.Receive(f.now, m, n.rnd))
	}
	n.inbox = nil
}

// await runs until the condition holds and returns the time that it took.
func (f *fleet) await(what string, limit time.Duration, cond func() bool) time.Duration {
	f.t.Helper()
	begin := f.now
	for !cond() {
		if f.now.Sub(begin) >= limit {
			f.t.Fatalf("%s: not within %v (seed %d)", what, limit, f.seed)
		}
		f.run(step)
	}
	return f.now.Sub(begin)
}

// settle waits until all running nodes see exactly each other.
func (f *fleet) settle(limit time.Duration) time.Duration {
	f.t.Helper()
	return f.await("equal views", limit, func() bool { return f.viewsAgree(f.nodes) })
}

// viewsAgree reports whether each running node of a group sees exactly that
// group.
func (f *fleet) viewsAgree(group []*node) bool {
	var running []*node
	for _, n := range group {
		if !n.stopped {
			running = append(running, n)
		}
	}
	for _, n := range running {
		if n.View().Len() != len(running) {
			return false
		}
	}
	for _, n := range running {
		for _, m := range running {
			if b, ok := n.View().Get(m.Self().Name); !ok || b != m.Self() {
				return false
			}
		}
	}
	return true
}

// seenBy counts the running nodes other than itself that have the named
// balancer in their view.
func (f *fleet) seenBy(name string) int {
	count := 0
	for _, n := range f.nodes {
		if _, ok := n.View().Get(name); ok && !n.stopped && n.Self().Name != name {
			count++
		}
	}
	return count
}
