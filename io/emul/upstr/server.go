package upstr

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/io/wire"
)

// Server is one running stand-in.
type Server struct {
	cfg            Config
	conn           *net.UDPConn
	health         *http.Server
	healthListener net.Listener
	done           chan struct{}
	wg             sync.WaitGroup

	// falseReport makes the health endpoint report an idle, healthy upstream.
	falseReport atomic.Bool

	mu          sync.Mutex
	rnd         *rand.Rand
	incarnation uint64
	conns       map[connKey]*connection
	running     int
	queue       []*job
	draining    bool
	// shedEvery is the argument of SetShedEvery.
	shedEvery int
	// requests counts the distinct requests so far.
	requests   int
	report     Report
	reportedAt time.Time
}

type connKey struct {
	flow    uint64
	address netip.AddrPort
}

// Start binds the sockets of a stand-in and serves until Close.
func Start(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "upstream "+cfg.Name+" cannot listen", "choose a free address")
	}
	_ = conn.SetReadBuffer(4 << 20)
	lis, err := net.Listen("tcp", cfg.Health.String())
	if err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(err, fault.KindInvalid, "upstream "+cfg.Name+" cannot serve its health endpoint", "choose a free address")
	}
	s := &Server{
		cfg: cfg, conn: conn, healthListener: lis, done: make(chan struct{}),
		rnd:   rand.New(rand.NewPCG(cfg.Seed, 3)),
		conns: make(map[connKey]*connection),
	}
	s.incarnation = uint64(time.Now().UnixNano())
	s.health = &http.Server{Handler: s.healthHandler(), ReadHeaderTimeout: time.Second}
	s.wg.Add(3)
	go func() { defer s.wg.Done(); s.serve() }()
	go func() { defer s.wg.Done(); s.sweep() }()
	go func() { defer s.wg.Done(); _ = s.health.Serve(lis) }()
	return s, nil
}

// Endpoint returns the address for flow packets.
func (s *Server) Endpoint() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Health returns the address of the health endpoint.
func (s *Server) Health() netip.AddrPort { return s.healthListener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the stand-in at once, as a crash would.
func (s *Server) Close() {
	close(s.done)
	_ = s.conn.Close()
	_ = s.health.Close()
	s.wg.Wait()
}

// SetDraining makes the upstream refuse new flows, or accept them again.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// SetShedEvery makes the upstream refuse every nth request unless a slot is
// free; with 0, it refuses requests only when the queue is full.
func (s *Server) SetShedEvery(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedEvery = n
}

// SetFalseReport makes the health endpoint report an idle, healthy upstream.
func (s *Server) SetFalseReport(on bool) { s.falseReport.Store(on) }

// Restart forgets all connections and requests and starts a new incarnation at
// the same endpoint.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = max(s.incarnation+1, uint64(time.Now().UnixNano()))
	for key, c := range s.conns {
		s.drop(key, c)
	}
	s.queue = nil
	s.running = 0
	s.draining = false
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) serve() {
	var d wire.Decoder
	buf := make([]byte, 1<<16)
	for {
		n, via, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p packet.Packet
		if s.cfg.IsCut(via.Addr()) || d.Decode(buf[:n], &p) != nil {
			continue
		}
		s.mu.Lock()
		s.handle(&p, via)
		s.mu.Unlock()
	}
}

// handle processes one packet. The caller holds the lock.
func (s *Server) handle(p *packet.Packet, via netip.AddrPort) {
	if !s.cfg.Addresses[p.Address.Addr()] {
		s.cfg.Journal.recordMisroute()
	}
	key := connKey{p.Flow, p.Address}
	c, ok := s.conns[key]
	if o, opening := p.Body.(*packet.Open); opening {
		s.open(key, c, p, o, via)
		return
	}
	if !ok || c.handshake != p.Handshake || (p.Route.Incarnation != 0 && p.Route.Incarnation != s.incarnation) {
		s.resetUnknown(p, via)
		return
	}
	c.via, c.client, c.lastSeen = via, p.Client, time.Now()
	switch b := p.Body.(type) {
	case *packet.Request:
		s.request(c, b)
	case *packet.Cancel:
		s.cancel(c, b)
	case *packet.Data:
		c.acceptChunk(b)
		s.send(c, &packet.Ack{Seq: c.received})
	case *packet.Ack:
	case *packet.Close:
		s.drop(key, c)
	case *packet.Open, *packet.Accept, *packet.Answer, *packet.Refuse, *packet.Reset:
	}
}

// resetUnknown answers a packet of an unknown flow with a reset.
func (s *Server) resetUnknown(p *packet.Packet, via netip.AddrPort) {
	r := &packet.Reset{Reason: packet.ReasonUnknownFlow, RouteKnown: p.Route.Incarnation != 0}
	switch b := p.Body.(type) {
	case *packet.Request:
		r.ID, r.Attempt = b.ID, b.Attempt
	case *packet.Cancel:
		r.ID, r.Attempt = b.ID, b.Attempt
	case *packet.Close, *packet.Reset:
		return
	default:
	}
	s.reply(p.Header, via, r)
}

func (s *Server) open(key connKey, c *connection, p *packet.Packet, o *packet.Open, via netip.AddrPort) {
	if c == nil {
		reason := packet.ReasonNone
		switch {
		case s.draining:
			reason = packet.ReasonDraining
		case len(s.conns) >= s.cfg.MaxConnections:
			reason = packet.ReasonConnections
		}
		if reason != packet.ReasonNone {
			s.reply(p.Header, via, &packet.Refuse{Attempt: o.Attempt, Reason: reason})
			return
		}
		c = s.newConnection(key, p)
		s.conns[key] = c
		s.cfg.Journal.recordAccept(Accept{
			Upstream: s.cfg.Name, Incarnation: s.incarnation, Address: p.Address, Flow: p.Flow, At: time.Now(),
		})
	}
	c.via, c.client, c.lastSeen = via, p.Client, time.Now()
	s.send(c, &packet.Accept{Load: s.load()})
	if c.behaviour.Kind == model.KindFeed && c.stop == nil {
		stop := make(chan struct{})
		c.stop = stop
		s.wg.Add(1)
		go func() { defer s.wg.Done(); s.push(key, c, stop) }()
	}
}

func (s *Server) load() uint32 { return uint32(s.running + len(s.queue)) }

// push sends messages on a feed until its connection ends.
func (s *Server) push(key connKey, c *connection, stop <-chan struct{}) {
	t := time.NewTicker(c.behaviour.PushEvery)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-stop:
			return
		case now := <-t.C:
			s.mu.Lock()
			if s.conns[key] == c {
				c.pushSeq++
				s.send(c, &packet.Data{Seq: c.pushSeq, Payload: []byte(now.Format(time.RFC3339Nano))})
			}
			s.mu.Unlock()
		}
	}
}

func (s *Server) drop(key connKey, c *connection) {
	delete(s.conns, key)
	if c.stop != nil {
		close(c.stop)
		c.stop = nil
	}
}

// sweep drops idle connections.
func (s *Server) sweep() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-t.C:
			s.mu.Lock()
			for key, c := range s.conns {
				if now.Sub(c.lastSeen) > s.cfg.IdleTimeout {
					s.drop(key, c)
				}
			}
			s.mu.Unlock()
		}
	}
}

// send sends to the client through the balancer that forwarded its last packet.
func (s *Server) send(c *connection, b packet.Body) {
	s.reply(packet.Header{Flow: c.flow, Address: c.address, Client: c.client, Handshake: c.handshake}, c.via, b)
}

func (s *Server) reply(h packet.Header, via netip.AddrPort, b packet.Body) {
	if s.cfg.IsCut(via.Addr()) {
		return
	}
	h.Route = packet.Route{Incarnation: s.incarnation}
	p := packet.Packet{Header: h, Body: b}
	// A send error counts as a lost datagram.
	_, _ = s.conn.WriteToUDPAddrPort(wire.Append(nil, &p), via)
}
