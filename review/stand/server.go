//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// firstRepeat and lastRepeat bound the interval after which a packet that was
	// not acknowledged is sent again; it doubles each time.
	firstRepeat, lastRepeat = 200 * time.Millisecond, 1600 * time.Millisecond
	// maxRepeats is the number of repeats after which a server gives up.
	maxRepeats = 8
	// workTime is how long a server works on a request.
	workTime = 30 * time.Millisecond
)

// server is a stand-in for a server that answers clients directly.
type server struct {
	id         uint64
	service    string
	zone       string
	bed        *bed
	conn       *net.UDPConn
	born       int64
	mu         sync.Mutex
	flows      map[flowID]*serverFlow
	sequence   uint64
	rnd        *rand.Rand
	sendReset  int
	notWritten int
}

// serverFlow is a flow at a server. It is open once the client has acknowledged
// the server's sequence number.
type serverFlow struct {
	open bool
	// start is the server's first sequence number, seq its next one.
	start, seq uint32
	// next is the client's next sequence number.
	next uint32
	echo uint32
	// pending is the last packet that awaits an acknowledgement up to pendingEnd.
	pending    *segment
	pendingEnd uint32
}

func (s *server) name() string { return fmt.Sprintf("i-%08x", s.id) }

func (s *server) addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// register writes the entry of the server, and again every heartbeat.
func (s *server) register() {
	for {
		s.mu.Lock()
		s.sequence++
		spec, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.addr().String(), "zone": s.zone, "version": "v1", "slots": 8, "state": "ready",
			"warmup_left_ms": 0, "sequence": s.sequence, "born": s.born,
		})
		s.mu.Unlock()
		s.bed.store.Put("servers", s.name(), json.RawMessage(spec))
		time.Sleep(heartbeat)
	}
}

func (s *server) run() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if id := binary.BigEndian.Uint64(b); id != 0 && id != s.id {
			continue
		}
		p, ok := decode(b[8:n])
		if !ok || checksum(b[8:n]) != p.sum {
			s.mu.Lock()
			s.notWritten++
			s.mu.Unlock()
			continue
		}
		s.handle(&p)
	}
}

func (s *server) handle(p *segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := flowID{client: p.src, route: p.dst}
	f := s.flows[id]
	switch {
	case p.has(flagRst):
		delete(s.flows, id)
	case p.has(flagSyn):
		if f == nil {
			start := s.rnd.Uint32()
			f = &serverFlow{start: start, seq: start + 1, next: p.seq + 1}
			s.flows[id] = f
			f.echo = p.echo
			s.sendUntilAcknowledged(id, f, &segment{src: p.dst, dst: p.src, seq: start, ack: f.next, flags: flagSyn | flagAck}, start+1)
			return
		}
		f.echo = p.echo
	case f == nil || !f.open && p.ack != f.start+1:
		// A flow that this server does not hold.
		s.sendReset++
		s.bed.record("server %s resets a flow that it does not hold: %s", s.name(), p.src)
		s.send(&segment{src: p.dst, dst: p.src, seq: p.ack, flags: flagRst, echo: p.echo})
	default:
		if !f.open {
			f.open = true
			s.bed.openedAt(id, s)
		}
		f.echo = p.echo
		if f.pending != nil && int32(p.ack-f.pendingEnd) >= 0 {
			f.pending = nil
		}
		s.receive(id, f, p)
	}
}

// receive handles a packet of an open flow.
func (s *server) receive(id flowID, f *serverFlow, p *segment) {
	switch {
	case p.has(flagFin):
		s.send(&segment{src: p.dst, dst: p.src, seq: f.seq, ack: p.seq + 1, flags: flagAck | flagFin, echo: f.echo})
		delete(s.flows, id)
	case len(p.data) == 0:
	case p.seq == f.next:
		f.next += uint32(len(p.data))
		attempt := attemptID(p.data)
		s.bed.record("server %s runs %s of %s", s.name(), attempt, p.src)
		time.AfterFunc(workTime, func() { s.answer(id, f, attempt) })
	case f.pending != nil:
		f.pending.echo = f.echo
		s.send(f.pending)
	}
}

// answer sends the response to a request.
func (s *server) answer(id flowID, f *serverFlow, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := strings.Repeat("x", 600)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Egretdock-Server-Seal: %s/%s\r\nContent-Length: %d\r\n\r\n%s", s.name(), attempt, len(body), body)
	r := &segment{src: id.route, dst: id.client, seq: f.seq, ack: f.next, flags: flagAck, data: []byte(text)}
	f.seq += uint32(len(text))
	s.sendUntilAcknowledged(id, f, r, f.seq)
}

// sendUntilAcknowledged sends a packet and repeats it until the client has
// acknowledged end.
func (s *server) sendUntilAcknowledged(id flowID, f *serverFlow, p *segment, end uint32) {
	f.pending, f.pendingEnd = p, end
	p.echo = f.echo
	s.send(p)
	go func() {
		wait := firstRepeat
		for range maxRepeats {
			time.Sleep(wait)
			wait = min(2*wait, lastRepeat)
			s.mu.Lock()
			if s.flows[id] != f || f.pending != p {
				s.mu.Unlock()
				return
			}
			p.echo = f.echo
			s.send(p)
			s.mu.Unlock()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.flows[id] == f && f.pending == p {
			delete(s.flows, id)
		}
	}()
}

// send sends a packet to the client. The network loses some.
func (s *server) send(p *segment) {
	if s.rnd.Float64() < lossShare {
		return
	}
	to := netip.AddrPortFrom(p.dst.Addr(), s.bed.ports.packets)
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(true), to)
}

func attemptID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "X-Egretdock-Attempt-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
