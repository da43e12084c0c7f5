package engine_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"egretdock/core/effect"
	"egretdock/core/engine"
	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/packet"
)

// memFrontEnd is a front end without sockets or encoding. It passes the effects
// of each engine to the other engines, upstreams and clients in memory.
type memFrontEnd struct {
	t         *testing.T
	now       time.Time
	rnd       *rand.Rand
	balancers []*memBalancer
	upstreams map[netip.AddrPort]*memUpstream
	// inbox holds the packets that clients received, by flow.
	inbox map[uint64][]packet.Packet
	// pending holds deliveries in order.
	pending []func()
	events  []effect.Event
	// isCut reports whether messages between two balancers are dropped; nil means
	// that none are.
	isCut func(from, to netip.AddrPort) bool
}

type memBalancer struct {
	engine.Engine
	work *engine.WorkerState
	dead bool
}

// memUpstream is an upstream that follows the protocol of a real one. Requests run
// until the test calls finish.
type memUpstream struct {
	model.Upstream
	incarnation uint64
	conns       map[uint64]*memConn
	draining    bool
	shedding    bool
	dead        bool
	// runs counts the executions by flow and request.
	runs map[string]int
	// running holds the requests in progress, each with the balancer that
	// forwarded it.
	running []memRun
	// misrouted counts the packets for addresses of another service.
	misrouted int
	// opens counts the openings that arrived.
	opens int
	// unknownFlowRequests counts the requests of flows that it does not hold.
	unknownFlowRequests int
	// service is the IP of the service address that the upstream serves.
	service netip.Addr
}

type memConn struct {
	handshake uint32
	refused   map[uint64]bool
	ran       map[uint64]bool
	chunks    uint64
}

type memRun struct {
	b *memBalancer
	p packet.Packet
}

var (
	orderAddr = netip.MustParseAddrPort("10.1.0.1:7001")
	feedAddr  = netip.MustParseAddrPort("10.1.0.1:7002")
	planAddr  = netip.MustParseAddrPort("10.1.0.1:7003")
	otherAddr = netip.MustParseAddrPort("10.2.0.1:7001")
)

func newMemFrontEnd(t *testing.T, balancers, upstreams int) *memFrontEnd {
	t.Helper()
	m := &memFrontEnd{
		t: t, now: time.Unix(1_000_000, 0), rnd: rand.New(rand.NewPCG(1, 1)),
		upstreams: make(map[netip.AddrPort]*memUpstream), inbox: make(map[uint64][]packet.Packet),
	}
	for i := range balancers {
		b := &memBalancer{work: engine.NewWorkerState(uint64(i))}
		b.Self = model.Balancer{
			Name: fmt.Sprintf("b%02d", i), DataCentre: fmt.Sprintf("dc%d", i%2), Incarnation: 1,
			Peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(9000+i)),
		}
		m.balancers = append(m.balancers, b)
	}
	m.hosts()
	cfg := model.Config{}.WithTemplate(deskTemplate("order_desk")).WithTemplate(deskTemplate("plan_intake"))
	cfg = cfg.WithParams(m.params("north", "order_desk", orderAddr.Addr(), 0, upstreams))
	cfg = cfg.WithParams(m.params("south", "plan_intake", otherAddr.Addr(), 100, 100+upstreams))
	m.configure(cfg.WithRevision(1))
	m.converge()
	return m
}

// converge waits until all live balancers see each other and no others.
func (m *memFrontEnd) converge() {
	m.t.Helper()
	live := 0
	for _, b := range m.balancers {
		if !b.dead {
			live++
		}
	}
	for range 60 {
		done := true
		for _, b := range m.balancers {
			done = done && (b.dead || b.Tables.Members().Len() == live && b.Tables.Settled())
		}
		if done {
			return
		}
		m.advance(time.Second)
	}
	m.t.Fatalf("%d balancers do not agree on the members after 60 s", live)
}

func deskTemplate(name string) model.Template {
	return model.Template{Name: name}.
		WithClass(model.Class{Name: "orders", Port: 7001, Kind: model.KindRequest, Priority: 3}).
		WithClass(model.Class{Name: "feeds", Port: 7002, Kind: model.KindFeed, Priority: 2}).
		WithClass(model.Class{Name: "plans", Port: 7003, Kind: model.KindUpload, Priority: 1})
}

func (m *memFrontEnd) params(customer, template string, a netip.Addr, from, to int) model.Params {
	p := model.Params{Customer: customer, Template: template, Address: a}
	for i := from; i < to; i++ {
		p = p.WithUpstream(m.addUpstream(fmt.Sprintf("u%03d", i), uint16(20000+i), a))
	}
	return p
}

func (m *memFrontEnd) addUpstream(name string, port uint16, service netip.Addr) model.Upstream {
	u := model.Upstream{Name: name, DataCentre: "dc0", Endpoint: netip.AddrPortFrom(netip.MustParseAddr("10.0.1.1"), port)}
	m.upstreams[u.Endpoint] = &memUpstream{
		Upstream: u, incarnation: 1, conns: make(map[uint64]*memConn), runs: make(map[string]int), service: service,
	}
	return u
}

// config returns the newest configuration in force at any balancer.
func (m *memFrontEnd) config() model.Config {
	var newest model.Config
	for _, b := range m.balancers {
		if cfg := b.Tables.View().Config; cfg.Revision >= newest.Revision {
			newest = cfg
		}
	}
	return newest
}

func (m *memFrontEnd) hosts() {
	var live []model.Balancer
	for _, b := range m.balancers {
		if !b.dead {
			live = append(live, b.Self)
		}
	}
	m.handleAll(&input.Hosts{Balancers: live})
}

func (m *memFrontEnd) configure(cfg model.Config) { m.handleAll(&input.ConfigReceived{Config: cfg}) }

func (m *memFrontEnd) handleAll(in input.Input) {
	for _, b := range m.balancers {
		m.handle(b, in)
	}
}

// handle passes an input to a balancer and enqueues the resulting deliveries.
func (m *memFrontEnd) handle(b *memBalancer, in input.Input) {
	if b.dead {
		return
	}
	b.work.Out.Reset()
	b.Handle(b.work, m.now, in)
	for _, e := range b.work.Out.Items() {
		m.apply(b, e)
	}
}

func (m *memFrontEnd) apply(b *memBalancer, e effect.Effect) {
	switch e := e.(type) {
	case *effect.ToUpstream:
		to, p := e.To, e.Packet.Clone()
		m.enqueue(func() { m.receiveAtUpstream(to, b, p) })
	case *effect.ToClient:
		p := e.Packet.Clone()
		m.enqueue(func() { m.inbox[p.Flow] = append(m.inbox[p.Flow], p) })
	case *effect.ToPeer:
		to, r := e.To, e.Relay
		r.Packet = r.Packet.Clone()
		if m.isCut == nil || !m.isCut(b.Self.Peer, to) {
			m.enqueue(func() { m.toPeer(to, &input.FromPeer{Relay: r}) })
		}
	case *effect.Event:
		m.events = append(m.events, *e)
	case *effect.Gossip:
		to, msg := e.To, e.Message
		if m.isCut == nil || !m.isCut(b.Self.Peer, to) {
			m.enqueue(func() { m.toPeer(to, &input.Gossip{Message: msg}) })
		}
	case *effect.Poll, *effect.Fetch, *effect.Deliver, *effect.ResetFlow, *effect.Wake:
	}
}

func (m *memFrontEnd) enqueue(fn func()) { m.pending = append(m.pending, fn) }

// settle makes the pending deliveries, and those that they cause, until there are
// none.
func (m *memFrontEnd) settle() {
	for len(m.pending) > 0 {
		fn := m.pending[0]
		m.pending = m.pending[1:]
		fn()
	}
}

func (m *memFrontEnd) toPeer(to netip.AddrPort, in input.Input) {
	for _, b := range m.balancers {
		if b.Self.Peer == to {
			m.handle(b, in)
		}
	}
}

// advance moves the time forward by d in ticks.
func (m *memFrontEnd) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(input.TickInterval)
		m.handleAll(&input.Tick{})
		m.settle()
	}
}

func (m *memFrontEnd) receiveAtUpstream(ep netip.AddrPort, b *memBalancer, p packet.Packet) {
	u := m.upstreams[ep]
	if u == nil || u.dead {
		return
	}
	if p.Address.Addr() != u.service {
		u.misrouted++
	}
	reply := func(body packet.Body, handshake uint32) { m.sendFromUpstream(u, b, p, body, handshake) }
	c := u.conns[p.Flow]
	if o, ok := p.Body.(*packet.Open); ok {
		u.opens++
		switch {
		case c == nil && u.draining:
			reply(&packet.Refuse{Attempt: o.Attempt, Reason: packet.ReasonDraining}, 0)
			return
		case c == nil && u.shedding:
			reply(&packet.Refuse{Attempt: o.Attempt, Reason: packet.ReasonShed}, 0)
			return
		case c == nil:
			c = &memConn{handshake: m.rnd.Uint32() | 1, refused: make(map[uint64]bool), ran: make(map[uint64]bool)}
			u.conns[p.Flow] = c
		}
		reply(&packet.Accept{}, c.handshake)
		return
	}
	stale := p.Route.Incarnation != 0 && p.Route.Incarnation != u.incarnation
	if c == nil || c.handshake != p.Handshake || stale {
		id, attempt := uint64(0), uint32(0)
		if r, ok := p.Body.(*packet.Request); ok {
			id, attempt = r.ID, r.Attempt
			u.unknownFlowRequests++
		}
		if r, ok := p.Body.(*packet.Cancel); ok {
			id, attempt = r.ID, r.Attempt
		}
		reply(&packet.Reset{ID: id, Attempt: attempt, Reason: packet.ReasonUnknownFlow, RouteKnown: p.Route.Incarnation != 0}, p.Handshake)
		return
	}
	switch body := p.Body.(type) {
	case *packet.Request:
		if c.refused[body.ID] {
			reply(&packet.Refuse{ID: body.ID, Attempt: body.Attempt, Reason: packet.ReasonCancelled}, c.handshake)
		} else if !c.ran[body.ID] {
			c.ran[body.ID] = true
			u.runs[fmt.Sprintf("%d/%d", p.Flow, body.ID)]++
			u.running = append(u.running, memRun{b: b, p: p})
		}
	case *packet.Cancel:
		if !c.ran[body.ID] {
			c.refused[body.ID] = true
			reply(&packet.Refuse{ID: body.ID, Attempt: body.Attempt, Reason: body.Reason}, c.handshake)
		}
	case *packet.Data:
		c.chunks = max(c.chunks, body.Seq)
		reply(&packet.Ack{Seq: c.chunks}, c.handshake)
	case *packet.Ack:
		reply(&packet.Data{Seq: 1, Payload: []byte("push")}, c.handshake)
	case *packet.Close:
		delete(u.conns, p.Flow)
	case *packet.Open, *packet.Accept, *packet.Answer, *packet.Refuse, *packet.Reset:
	}
}

func (m *memFrontEnd) sendFromUpstream(u *memUpstream, b *memBalancer, p packet.Packet, body packet.Body, handshake uint32) {
	p.Handshake, p.Route, p.Body = handshake, packet.Route{Incarnation: u.incarnation}, body
	m.enqueue(func() { m.handle(b, &input.FromUpstream{Source: u.Endpoint, Packet: p}) })
}

// finish ends all running requests of an upstream with an answer.
func (m *memFrontEnd) finish(u *memUpstream) {
	runs := u.running
	u.running = nil
	for _, r := range runs {
		if req, ok := r.p.Body.(*packet.Request); ok {
			m.sendFromUpstream(u, r.b, r.p, &packet.Answer{ID: req.ID, Parts: 1, Payload: req.Payload}, r.p.Handshake)
		}
	}
	m.settle()
}

// restart gives the upstream a new incarnation without connections.
func (u *memUpstream) restart() {
	u.incarnation++
	u.conns, u.running = make(map[uint64]*memConn), nil
}

func newHolder() *locks.Holder { return &locks.Holder{} }

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
