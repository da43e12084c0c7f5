package admit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"egretdock/core/model"
	"egretdock/core/packet"
)

const (
	simRoundTrip = 6 * time.Millisecond
	simService   = 20 * time.Millisecond
	simTimeout   = 400 * time.Millisecond
	simSlots     = 2
	simServers   = 4
	// simCapacity is the number of requests a second that all servers can run.
	simCapacity = simServers * simSlots * float64(time.Second) / float64(simService)
	simEnd      = 25 * time.Second
)

var simClasses = [...]model.Class{
	{Name: "orders", Priority: 3, MinShare: 0.4},
	{Name: "quotes", Priority: 2, MinShare: 0.2},
	{Name: "plans", Priority: 1, MinShare: 0.2},
}

const simCustomers = 5

var simStart = time.Unix(1e9, 0)

// demand is the arrival rate by class and customer, as a share of capacity.
type demand [len(simClasses)][simCustomers]float64

// steadyDemand uses 60% of capacity.
func steadyDemand() (d demand) {
	for c, share := range [...]float64{0.3, 0.15, 0.15} {
		d = d.withClass(c, share)
	}
	return d
}

func (d demand) withClass(c int, share float64) demand {
	for i := range d[c] {
		d[c][i] = share / simCustomers
	}
	return d
}

func (d demand) withCustomer(c, customer int, share float64) demand {
	d[c][customer] = share
	return d
}

// admission is implemented by Upstream and by the baselines.
type admission interface {
	Offer(time.Time, Item, *rand.Rand) Verdict
	Transfer(from, to Key) bool
	Finish(time.Time, Key, Outcome)
	Pop(time.Time) (Item, bool)
	ExpireQueued(time.Time) []Dropped
	ExpireGrants(time.Time) []Item
	Load() Load
	EstimateWait(Item) time.Duration
}

// fixedLimit is the baseline: a fixed concurrency limit and one bounded queue,
// in order of arrival or of strict priority.
type fixedLimit struct {
	limit, running int
	strict         bool
	queue          []Item
}

func (p *fixedLimit) Load() Load {
	return Load{InFlight: p.running, Queued: len(p.queue), Limit: p.limit}
}

func (p *fixedLimit) EstimateWait(Item) time.Duration { return time.Duration(len(p.queue)) }

func (p *fixedLimit) Offer(_ time.Time, it Item, _ *rand.Rand) Verdict {
	if p.Load().HasCapacity() {
		p.running++
		return Granted{}
	}
	if len(p.queue) >= model.DefaultQueueLimit {
		return Rejected{Reason: packet.ReasonOverload}
	}
	p.queue = append(p.queue, it)
	return Queued{}
}

func (p *fixedLimit) Pop(time.Time) (Item, bool) {
	if len(p.queue) == 0 || p.running >= p.limit {
		return Item{}, false
	}
	at := 0
	for i := range p.queue {
		if p.strict && p.queue[i].Class.Priority > p.queue[at].Class.Priority {
			at = i
		}
	}
	it := p.queue[at]
	p.queue = append(p.queue[:at], p.queue[at+1:]...)
	p.running++
	return it, true
}

func (p *fixedLimit) Transfer(_, _ Key) bool           { return true }
func (p *fixedLimit) Finish(time.Time, Key, Outcome)   { p.running-- }
func (p *fixedLimit) ExpireQueued(time.Time) []Dropped { return nil }
func (p *fixedLimit) ExpireGrants(time.Time) []Item    { return nil }

// job is one opening with its request.
type job struct {
	item            Item
	class, customer int
	server          *server
	forwarded       time.Time
}

// server is an upstream with its owner's admission.
type server struct {
	admission
	busy  int
	queue []*job
	// service returns the time that a request takes.
	service service
	// shedAt is the number of requests at which it sheds; 0 means never.
	shedAt int
}

// service is a distribution of service times that may change with age.
type service func(age time.Duration, rnd *rand.Rand) time.Duration

// event is a function to run at a given time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is a deterministic event loop over servers and arrivals.
type sim struct {
	now, warm time.Time
	rnd       *rand.Rand
	events    events
	seq       int
	jobs      map[Key]*job
	servers   []*server
	result    result
}

// result counts what happened after the warm-up.
type result struct {
	// good counts requests answered before their deadline.
	good [len(simClasses)][simCustomers]float64
	// arrived counts openings, sheds refusals by servers, late answers after
	// the deadline.
	arrived     demand
	sheds, late float64
	// queued is the sum of the lengths of the servers' own queues, seen by each
	// of the requests on arrival.
	queued, requests float64
	// seconds is the duration of the count.
	seconds float64
}

// run simulates a demand against servers made by build, from a seed, and counts
// after the warm-up.
func run(seed uint64, warm time.Duration, d demand, build func(i int) *server) result {
	s := &sim{now: simStart, warm: simStart.Add(warm), rnd: rand.New(rand.NewPCG(seed, 1)), jobs: make(map[Key]*job)}
	for i := range simServers {
		s.servers = append(s.servers, build(i))
	}
	for c := range d {
		for cu, share := range d[c] {
			if share > 0 {
				s.arrivals(c, cu, share*simCapacity)
			}
		}
	}
	s.tick()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.Sub(simStart) > simEnd {
			break
		}
		s.now = e.at
		e.run()
	}
	s.result.seconds = simEnd.Seconds() - warm.Seconds()
	return s.result
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: f})
}

func (s *sim) count(x *float64, by float64) {
	if !s.now.Before(s.warm) {
		*x += by
	}
}

func (s *sim) arrivals(c, cu int, rate float64) {
	s.after(time.Duration(s.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		s.open(c, cu)
		s.arrivals(c, cu, rate)
	})
}

func (s *sim) tick() {
	s.after(50*time.Millisecond, func() {
		for _, sv := range s.servers {
			for _, d := range sv.ExpireQueued(s.now) {
				delete(s.jobs, d.Item.Key)
			}
			sv.ExpireGrants(s.now)
			s.pop(sv)
		}
		s.tick()
	})
}

// open offers a flow to the first of 3 candidates with room, or to the one with
// the shortest wait, as owners do.
func (s *sim) open(c, cu int) {
	s.count(&s.result.arrived[c][cu], 1)
	j := &job{class: c, customer: cu, item: Item{
		Key: Key{Flow: s.rnd.Uint64()}, Customer: string(rune('a' + cu)), Weight: 1,
		Class: simClasses[c], Deadline: s.now.Add(simTimeout),
	}}
	first := s.rnd.IntN(simServers)
	j.server = s.servers[first]
	for i := range min(3, simServers) {
		sv := s.servers[(first+i)%simServers]
		if sv.Load().HasCapacity() {
			j.server = sv
			break
		}
		if sv.EstimateWait(j.item) < j.server.EstimateWait(j.item) {
			j.server = sv
		}
	}
	switch j.server.Offer(s.now, j.item, s.rnd).(type) {
	case Granted:
		s.granted(j)
	case Queued:
		s.jobs[j.item.Key] = j
	case Rejected:
	}
}

// granted lets the request arrive one round trip after the grant.
func (s *sim) granted(j *job) {
	s.after(simRoundTrip, func() {
		sv := j.server
		from := j.item.Key
		j.item.Key.Request = 1
		sv.Transfer(from, j.item.Key)
		j.forwarded = s.now
		s.count(&s.result.requests, 1)
		s.count(&s.result.queued, float64(len(sv.queue)))
		if sv.shedAt > 0 && sv.busy+len(sv.queue) >= sv.shedAt {
			s.count(&s.result.sheds, 1)
			s.finish(j, Shed{})
			return
		}
		sv.queue = append(sv.queue, j)
		s.work(sv)
	})
}

// work starts requests on free slots; servers drop those past their deadline.
func (s *sim) work(sv *server) {
	for sv.busy < simSlots && len(sv.queue) > 0 {
		j := sv.queue[0]
		sv.queue = sv.queue[1:]
		if s.now.After(j.item.Deadline) {
			s.count(&s.result.late, 1)
			s.finish(j, Abandoned{})
			continue
		}
		sv.busy++
		s.after(sv.service(s.now.Sub(simStart), s.rnd), func() {
			sv.busy--
			if s.now.After(j.item.Deadline) {
				s.count(&s.result.late, 1)
			} else {
				s.count(&s.result.good[j.class][j.customer], 1)
			}
			s.finish(j, Answered{Latency: s.now.Sub(j.forwarded)})
			s.work(sv)
		})
	}
}

func (s *sim) finish(j *job, o Outcome) {
	j.server.Finish(s.now, j.item.Key, o)
	s.pop(j.server)
}

func (s *sim) pop(sv *server) {
	for it, ok := sv.Pop(s.now); ok; it, ok = sv.Pop(s.now) {
		j := s.jobs[it.Key]
		delete(s.jobs, it.Key)
		s.granted(j)
	}
}

// total returns the goodput of all classes as a share of capacity.
func (r result) total() float64 { return sum(r.customers()) / (simCapacity * r.seconds) }

// kept returns the goodput of a class as a share of its demand.
func (r result) kept(c int) float64 { return sum(r.good[c][:]) / sum(r.arrived[c][:]) }

// customers returns the goodput of each customer.
func (r result) customers() []float64 {
	out := make([]float64, simCustomers)
	for c := range r.good {
		for cu, n := range r.good[c] {
			out[cu] += n
		}
	}
	return out
}

func sum(xs []float64) (t float64) {
	for _, x := range xs {
		t += x
	}
	return t
}

// jain returns Jain's fairness index.
func jain(xs []float64) float64 {
	var squares float64
	for _, x := range xs {
		squares += x * x
	}
	return math.Pow(sum(xs), 2) / (float64(len(xs)) * squares)
}
