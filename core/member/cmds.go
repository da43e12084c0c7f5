package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"egretdock/core/member/probe"
	"egretdock/core/member/spread"
	"egretdock/core/model"
)

// tickSlack is the gap between ticks that counts as on time. A longer gap is
// added to all deadlines, so that others are not suspected because this
// process did not run.
const tickSlack = 200 * time.Millisecond

// Tick lets time pass and returns the messages to send.
func (s *State) Tick(now time.Time, rnd *rand.Rand) []Envelope {
	s.resume(now, rnd)
	s.ticked = now
	s.checkProbes(now, rnd)
	s.expire(now, rnd)
	s.announce(now, rnd)
	s.probeDue(now, rnd)
	s.pullDue(now, rnd)
	return s.flush()
}

// Receive takes in an authentic message and returns the messages to send.
func (s *State) Receive(now time.Time, m Message, rnd *rand.Rand) []Envelope {
	if s.paused(now) {
		s.resume(now, rnd)
		s.ticked = now
	}
	switch m := m.(type) {
	case *Ping:
		s.learn(now, &m.Header)
		s.send(m.From, &Ack{Header: s.head(m.Seq, m.From.Name)})
	case *Ack:
		s.answered(m)
		s.learn(now, &m.Header)
	case *PingRequest:
		s.learn(now, &m.Header)
		s.ping(now, m.Target, probe.Relayed{Origin: m.From, Seq: m.Seq})
	case *Pull:
		s.learn(now, &m.Header)
		s.servePage(now, m)
	case *Page:
		s.readPage(now, m)
	case *Findings:
		// They are about instances, which the engine knows.
	}
	return s.flush()
}

// SetHosts takes in the platform's host list, which may lag: a listed host
// counts as live once it is heard, and one that is missing stays until it
// dies.
func (s *State) SetHosts(now time.Time, hosts []model.Balancer) {
	listed := make(map[string]bool, len(hosts))
	for _, b := range hosts {
		if b.Name == s.self.Name {
			continue
		}
		listed[b.Name] = true
		s.put(s.records[b.Name].withListed(b))
	}
	for _, name := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[name]
		switch {
		case listed[name]:
		case !r.heard:
			s.forget(name)
		case r.listed && r.status == StatusDead:
			s.put(r.withoutListed().withDeadline(now.Add(s.cfg.DeadRetention)))
		case r.listed:
			s.put(r.withoutListed())
		}
	}
	s.flush()
}

// SetRevision records the own configuration revision, which each message
// carries.
func (s *State) SetRevision(revision uint64) { s.revision = revision }

// Leave announces that the balancer takes no more ownership and will exit. It
// stays reachable until then.
func (s *State) Leave(time.Time) {
	s.setSelf(s.self, true)
	s.announced = false
	s.flush()
}

// resume detects a pause since the last tick.
func (s *State) resume(now time.Time, rnd *rand.Rand) {
	gap := now.Sub(s.ticked)
	switch {
	case s.ticked.IsZero():
		s.seq = uint64(rnd.Uint32())
		s.nextProbe = now.Add(time.Duration(rnd.Int64N(int64(s.cfg.ProbeInterval))))
		s.nextContact = now.Add(time.Duration(rnd.Int64N(int64(s.cfg.ContactInterval))))
		s.join(now)
	case gap > s.cfg.SuspicionTimeout:
		// The peers may have removed this incarnation, and the queued news is
		// out of date.
		s.setSelf(s.self.WithIncarnation(s.self.Incarnation+1), s.left)
		s.queue.Clear()
		s.pending.Clear()
		s.delay(gap)
		s.join(now)
	case gap > tickSlack:
		s.delay(gap)
	}
}

// join starts to catch up with the fleet.
func (s *State) join(now time.Time) {
	s.joined, s.agreed, s.ready, s.announced = now, now, false, false
	s.startSync(now, true)
}

// delay moves all deadlines by the time that this process did not run.
func (s *State) delay(d time.Duration) {
	s.pending.Delay(d)
	for _, name := range s.timed {
		if r := s.records[name]; !r.deadline.IsZero() {
			s.records[name] = r.withDeadline(r.deadline.Add(d))
		}
	}
}

// learn takes in what every message carries.
func (s *State) learn(now time.Time, h *Header) {
	s.apply(now, Update{Balancer: h.From, Status: StatusAlive})
	for _, u := range h.Updates {
		s.apply(now, u)
	}
	name := h.From.Name
	if r := s.records[name]; r.heard && r.balancer.Incarnation == h.From.Incarnation {
		s.records[name] = r.withRevision(h.Revision)
	}
	if h.Digest == s.digest {
		s.agreed = now
		if s.ready {
			s.sync = catchUp{}
		}
	}
}

// apply takes in an update if it is newer than what is known, and passes it on.
func (s *State) apply(now time.Time, u Update) {
	name := u.Balancer.Name
	if name == s.self.Name {
		s.refute(u)
		return
	}
	old := s.records[name]
	if !old.supersededBy(u) {
		switch {
		case old.corrects(u):
			s.corrections = append(s.corrections, name)
		case old.status == u.Status:
			s.queue.CountDuplicate(name)
		}
		return
	}
	s.put(old.withUpdate(u).withDeadline(s.deadline(now, u.Status)))
	// The death of a balancer that was never heard of is not passed on, since
	// it would go round the fleet for ever.
	if old.heard || u.Status != StatusDead {
		s.queue.Push(name, spread.TransmitLimit(s.view.Len()))
	}
}

// deadline is when a status that starts now changes by itself.
func (s *State) deadline(now time.Time, status Status) time.Time {
	switch status {
	case StatusSuspect:
		return now.Add(s.cfg.SuspicionTimeout - s.cfg.FinalProbeLead)
	case StatusLeaving:
		return now.Add(s.cfg.LeaveTimeout)
	case StatusDead:
		return now.Add(s.cfg.DeadRetention)
	case StatusAlive:
	}
	return time.Time{}
}

// refute raises the own incarnation above news that contradicts it. Messages
// carry the own incarnation, so peers pass it on.
func (s *State) refute(u Update) {
	n := u.Balancer.Incarnation
	mine := StatusAlive
	if s.left {
		mine = StatusLeaving
	}
	if n > s.self.Incarnation || n == s.self.Incarnation && u.Status > mine {
		s.setSelf(s.self.WithIncarnation(n+1), s.left)
		s.announced = false
	}
}

// expire acts on the records whose deadline has passed.
func (s *State) expire(now time.Time, rnd *rand.Rand) {
	names := s.timed
	s.timed = nil
	for _, name := range names {
		r := s.records[name]
		switch {
		case r.deadline.IsZero():
		case now.Before(r.deadline):
			s.timed = append(s.timed, name)
		case r.status == StatusSuspect && !r.finalSent:
			s.finalProbe(now, r, rnd)
		case r.status == StatusSuspect:
			s.apply(now, Update{Balancer: r.balancer, Status: StatusDead})
		case r.status == StatusLeaving:
			s.put(r.withUpdate(Update{Balancer: r.balancer, Status: StatusDead}).withDeadline(now.Add(s.cfg.DeadRetention)))
		case r.listed:
			// A listed host stays known, so that it is tried again.
			s.records[name] = r.withDeadline(time.Time{})
		default:
			s.forget(name)
		}
	}
}
