package engine_test

import (
	"testing"
	"time"

	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// openMany opens n feeds through all balancers in turn, spread over a time, and
// returns how many were accepted.
func (m *memFrontEnd) openMany(n int, over time.Duration) int {
	accepted := 0
	for i := range n {
		f := m.flow(feedAddr)
		f.send(i%len(m.balancers), &packet.Open{Attempt: 1})
		if _, ok := f.last().(*packet.Accept); ok {
			accepted++
		}
		m.now = m.now.Add(over / time.Duration(n))
	}
	return accepted
}

// Guards against a customer that opens flows faster than its parameters allow,
// and against a limit that each balancer grants in full.
func TestNewFlowsLimit(t *testing.T) {
	m := newMemFrontEnd(t, 4, 4)
	cfg := m.config()
	p, _ := cfg.Params("north")
	p.Limits = model.Limits{NewFlowsPerSecond: 40}
	m.configure(cfg.WithParams(p).WithRevision(cfg.Revision + 1))
	const seconds = 5
	got := m.openMany(2000, seconds*time.Second)
	// The limit may be exceeded by the flows of one second and by one flow for
	// each balancer.
	if most := 40*(seconds+1) + len(m.balancers); got > most {
		t.Errorf("%d flows accepted in %d s at 40 a second, want at most %d", got, seconds, most)
	}
	if least := 40 * seconds * 9 / 10; got < least {
		t.Errorf("%d flows accepted in %d s at 40 a second, want at least %d", got, seconds, least)
	}
}

// Guards against retries that multiply the load of a service whose upstreams
// all refuse.
func TestRetryBudget(t *testing.T) {
	m := newMemFrontEnd(t, 4, 6)
	for _, u := range m.upstreams {
		u.shedding = true
	}
	// Few enough that no upstream is ejected, which would also end the retries.
	const openings = 20
	m.openMany(openings, time.Second)
	// Without successes each balancer may retry once, and the minimum rate allows
	// one more retry in 10 s.
	if retries, most := m.openings()-openings, len(m.balancers)+1; retries > most {
		t.Errorf("%d retries for %d openings that all upstreams refuse, want at most %d", retries, openings, most)
	}
}

// openings returns the openings that reached the upstreams.
func (m *memFrontEnd) openings() int {
	n := 0
	for _, u := range m.upstreams {
		n += u.opens
	}
	return n
}

// Guards against a limit of tracked requests that is not enforced. An owner at the
// limit refuses new flows and continues to serve existing ones.
func TestRequestLimit(t *testing.T) {
	m := newMemFrontEnd(t, 1, 2)
	m.balancers[0].Tables.Requests.Limit = 1
	f := m.flow(orderAddr).mustOpen(0)
	f.send(0, &packet.Request{ID: 1, Attempt: 1, Timeout: time.Second})
	m.advance(input.TickInterval)
	again := m.flow(orderAddr)
	again.send(0, &packet.Open{Attempt: 1, Timeout: time.Second})
	if got := wantBody[*packet.Refuse](t, again).Reason; got != packet.ReasonOverload {
		t.Errorf("opening at the limit is refused for %s, want %s", got, packet.ReasonOverload)
	}
	m.finish(f.upstream())
	wantBody[*packet.Answer](t, f)
	m.advance(input.TickInterval)
	m.flow(orderAddr).mustOpen(0)
}
