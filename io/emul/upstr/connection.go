package upstr

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/model"
	"egretdock/core/packet"
)

// connection is the state of one flow. The server's lock protects it.
type connection struct {
	flow      uint64
	address   netip.AddrPort
	behaviour Behaviour
	handshake uint32
	// via is the balancer that forwarded the last packet; client is the return
	// address in it.
	via, client netip.AddrPort
	lastSeen    time.Time
	requests    map[uint64]*job
	// stop ends the pushes of a feed; nil when there are none.
	stop    chan struct{}
	pushSeq uint64
	// received counts the chunks accepted in order; digest covers them.
	received uint64
	digest   *xxhash.Digest
}

func (s *Server) newConnection(key connKey, p *packet.Packet) *connection {
	return &connection{
		flow:      key.flow,
		address:   key.address,
		behaviour: s.cfg.Behaviours[p.Address.Port()],
		handshake: s.rnd.Uint32() | 1,
		requests:  make(map[uint64]*job),
		digest:    xxhash.New(),
	}
}

// acceptChunk accepts only the next chunk of an upload; the client retransmits
// those that are not acknowledged.
func (c *connection) acceptChunk(d *packet.Data) {
	if d.Seq == c.received+1 {
		c.received++
		_, _ = c.digest.Write(d.Payload)
	}
}

type jobState uint8

const (
	jobQueued jobState = iota
	jobRunning
	jobDone
	jobRefused
)

// job is one request of a connection. A refused job never runs.
type job struct {
	conn       *connection
	id         uint64
	attempt    uint32
	payload    []byte
	state      jobState
	reason     packet.Reason
	retryAfter time.Duration
	answer     []byte
}

// request starts, queues or refuses a request once; a further copy makes the
// stand-in resend the result.
func (s *Server) request(c *connection, b *packet.Request) {
	j, ok := c.requests[b.ID]
	if ok {
		s.resend(j, b.Attempt)
		return
	}
	j = &job{conn: c, id: b.ID, attempt: b.Attempt, payload: append([]byte(nil), b.Payload...)}
	c.requests[b.ID] = j
	s.requests++
	switch {
	case s.running < s.cfg.Slots:
		s.run(j)
	case s.shedEvery > 0 && s.requests%s.shedEvery == 0, len(s.queue) >= s.cfg.QueueLimit:
		s.refuse(j, packet.ReasonShed, 100*time.Millisecond)
		return
	default:
		s.queue = append(s.queue, j)
	}
	// The last request of an upload is no new work: it completes a flow that was
	// accepted before.
	if c.behaviour.Kind == model.KindRequest {
		s.cfg.Journal.recordNewWork(s.cfg.Name, time.Now())
	}
}

// resend sends the answer or the refusal of a request that has one.
func (s *Server) resend(j *job, attempt uint32) {
	j.attempt = attempt
	switch j.state {
	case jobDone:
		s.answer(j)
	case jobRefused:
		s.send(j.conn, &packet.Refuse{ID: j.id, Attempt: attempt, Reason: j.reason, RetryAfter: j.retryAfter})
	case jobQueued, jobRunning:
	}
}

// cancel refuses a request that has not started, including one that has not
// arrived yet, so that no later copy of it runs.
func (s *Server) cancel(c *connection, b *packet.Cancel) {
	j, ok := c.requests[b.ID]
	if !ok {
		j = &job{conn: c, id: b.ID, attempt: b.Attempt}
		c.requests[b.ID] = j
	}
	switch j.state {
	case jobQueued:
		s.dequeue(j)
		s.refuse(j, b.Reason, b.RetryAfter)
	case jobRunning:
	case jobDone, jobRefused:
		s.resend(j, b.Attempt)
	}
}

func (s *Server) refuse(j *job, reason packet.Reason, retryAfter time.Duration) {
	j.state, j.reason, j.retryAfter = jobRefused, reason, retryAfter
	s.resend(j, j.attempt)
}

func (s *Server) dequeue(j *job) {
	for i, q := range s.queue {
		if q == j {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (s *Server) run(j *job) {
	j.state = jobRunning
	s.running++
	incarnation := s.incarnation
	d := j.conn.behaviour.ServiceTime
	if jitter := j.conn.behaviour.Jitter; jitter > 0 {
		d = time.Duration(float64(d) * (1 + jitter*(2*s.rnd.Float64()-1)))
	}
	s.cfg.Journal.recordRun(Run{
		Upstream: s.cfg.Name, Incarnation: incarnation, Address: j.conn.address,
		Flow: j.conn.flow, Request: j.id, Payload: string(j.payload), At: time.Now(),
	})
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.incarnation == incarnation {
			s.finish(j)
		}
	})
}

func (s *Server) finish(j *job) {
	s.running--
	j.state = jobDone
	j.answer = Answer(j.payload, j.conn.digest.Sum64(), j.conn.behaviour.AnswerBytes)
	s.answer(j)
	for len(s.queue) > 0 && s.running < s.cfg.Slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.run(next)
	}
}

// partBytes is the maximum payload of one part of an answer.
const partBytes = 1200

func (s *Server) answer(j *job) {
	parts := max(1, (len(j.answer)+partBytes-1)/partBytes)
	for i := range parts {
		b := j.answer[i*partBytes : min(len(j.answer), (i+1)*partBytes)]
		s.send(j.conn, &packet.Answer{ID: j.id, Part: uint32(i), Parts: uint32(parts), Load: s.load(), Payload: b})
	}
}

// Answer returns the answer of n bytes that a request must get: it depends on
// the payload and on the chunks uploaded before it.
func Answer(payload []byte, digest uint64, n int) []byte {
	sum := xxhash.Sum64(payload) ^ digest
	out := make([]byte, 0, max(n, 8))
	for len(out) < max(n, 8) {
		out = binary.BigEndian.AppendUint64(out, sum)
		sum = sum*0x9e3779b97f4a7c15 + 1
	}
	return out[:max(n, 8)]
}

// EmptyDigest is the digest of a flow without chunks.
func EmptyDigest() uint64 { return xxhash.New().Sum64() }
