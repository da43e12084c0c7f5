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

// maxTickGap is the longest gap between ticks that counts as on time. A longer
// gap is added to all deadlines, so that peers are not suspected because this
// process did not run.
const maxTickGap = 200 * time.Millisecond

// Tick acts on all timers that are due at now and returns the messages to send.
func (s *State) Tick(now time.Time, rnd *rand.Rand) []Envelope {
	s.handlePause(now, rnd)
	s.lastTick = now
	s.checkProbes(now, rnd)
	s.expireRecords(now, rnd)
	s.announce(now, rnd)
	s.sendDueProbes(now, rnd)
	s.sendDuePull(now, rnd)
	return s.flush()
}

// Receive handles an authenticated message and returns the messages to send.
func (s *State) Receive(now time.Time, m Message, rnd *rand.Rand) []Envelope {
	if s.paused(now) {
		s.handlePause(now, rnd)
		s.lastTick = now
	}
	switch m := m.(type) {
	case *Ping:
		s.applyHeader(now, &m.Header)
		s.send(m.From, &Ack{Header: s.header(m.Seq, m.From.Name)})
	case *Ack:
		s.handleAck(m)
		s.applyHeader(now, &m.Header)
	case *PingRequest:
		s.applyHeader(now, &m.Header)
		s.ping(now, m.Target, probe.Relayed{Origin: m.From, Seq: m.Seq})
	case *Pull:
		s.applyHeader(now, &m.Header)
		s.servePage(now, m)
	case *Page:
		s.handlePage(now, m)
	case *Findings, *FlowQuery, *FlowReport:
		// These concern instances and flows, which the engine handles.
	}
	return s.flush()
}

// SetHosts records the platform's host list. The list may lag, so a listed host
// counts as live only once there is an update about it, and a live balancer
// that is not listed stays until it is found dead.
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
		case !r.statusKnown:
			s.forget(name)
		case r.listed && r.status == StatusDead:
			s.put(r.withoutListed().withDeadline(now.Add(s.cfg.DeadRetention)))
		case r.listed:
			s.put(r.withoutListed())
		}
	}
	s.flush()
}

// SetRevision records this balancer's configuration revision, which each
// message carries.
func (s *State) SetRevision(revision uint64) { s.revision = revision }

// Leave announces that this balancer gives up ownership and will exit. It stays
// reachable until then.
func (s *State) Leave(time.Time) {
	s.setSelf(s.self, true)
	s.announced = false
	s.flush()
}

// handlePause detects the first tick and pauses since the last one. It catches
// up with the fleet after a start or a long pause and delays deadlines by a
// pause.
func (s *State) handlePause(now time.Time, rnd *rand.Rand) {
	gap := now.Sub(s.lastTick)
	switch {
	case s.lastTick.IsZero():
		s.seq = uint64(rnd.Uint32())
		s.nextProbe = now.Add(time.Duration(rnd.Int64N(int64(s.cfg.ProbeInterval))))
		s.nextContact = now.Add(time.Duration(rnd.Int64N(int64(s.cfg.ContactInterval))))
		s.startCatchUp(now)
	case gap > s.cfg.SuspicionTimeout:
		// The peers may have removed this incarnation, and the queued updates
		// are out of date.
		s.setSelf(s.self.WithIncarnation(s.self.Incarnation+1), s.leaving)
		s.queue.Clear()
		s.pendingProbes.Clear()
		s.delayDeadlines(gap)
		s.startCatchUp(now)
	case gap > maxTickGap:
		s.delayDeadlines(gap)
	}
}

// startCatchUp starts to read the member list after a start or a long pause.
func (s *State) startCatchUp(now time.Time) {
	s.catchUpStart, s.lastAgreed, s.caughtUp, s.announced = now, now, false, false
	s.startSync(now, true)
}

// delayDeadlines delays all deadlines by the time that this process did not
// run.
func (s *State) delayDeadlines(d time.Duration) {
	s.pendingProbes.Delay(d)
	for _, name := range s.deadlines {
		if r := s.records[name]; !r.deadline.IsZero() {
			s.records[name] = r.withDeadline(r.deadline.Add(d))
		}
	}
}

// applyHeader applies the sender, updates, revision and digest of a message.
func (s *State) applyHeader(now time.Time, h *Header) {
	s.applyUpdate(now, Update{Balancer: h.From, Status: StatusAlive})
	for _, u := range h.Updates {
		s.applyUpdate(now, u)
	}
	name := h.From.Name
	if r := s.records[name]; r.statusKnown && r.balancer.Incarnation == h.From.Incarnation {
		s.records[name] = r.withRevision(h.Revision)
	}
	if h.Digest == s.digest {
		s.lastAgreed = now
		if s.caughtUp {
			s.sync = listSync{}
		}
	}
}

// applyUpdate records an update that is newer than the known state and queues
// it for other balancers.
func (s *State) applyUpdate(now time.Time, u Update) {
	name := u.Balancer.Name
	if name == s.self.Name {
		s.refute(u)
		return
	}
	old := s.records[name]
	if !old.supersededBy(u) {
		switch {
		case old.contradicts(u):
			s.corrections = append(s.corrections, name)
		case old.status == u.Status:
			s.queue.CountDuplicate(name)
		}
		return
	}
	s.put(old.withUpdate(u).withDeadline(s.statusDeadline(now, u.Status)))
	// The death of an unknown balancer is not passed on, since it would circulate
	// through the fleet forever.
	if old.statusKnown || u.Status != StatusDead {
		s.queue.Push(name, spread.TransmitLimit(s.view.Len()))
	}
}

// statusDeadline returns when a status that starts now expires, or zero if
// never.
func (s *State) statusDeadline(now time.Time, status Status) time.Time {
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

// refute raises this balancer's incarnation above an update that contradicts
// its status. Every message carries the incarnation, so peers pass it on.
func (s *State) refute(u Update) {
	n := u.Balancer.Incarnation
	ownStatus := StatusAlive
	if s.leaving {
		ownStatus = StatusLeaving
	}
	if n > s.self.Incarnation || n == s.self.Incarnation && u.Status > ownStatus {
		s.setSelf(s.self.WithIncarnation(n+1), s.leaving)
		s.announced = false
	}
}

// expireRecords advances the records whose deadline has passed.
func (s *State) expireRecords(now time.Time, rnd *rand.Rand) {
	names := s.deadlines
	s.deadlines = nil
	for _, name := range names {
		r := s.records[name]
		switch {
		case r.deadline.IsZero():
		case now.Before(r.deadline):
			s.deadlines = append(s.deadlines, name)
		case r.status == StatusSuspect && !r.finalProbePassed:
			s.finalProbe(now, r, rnd)
		case r.status == StatusSuspect:
			s.applyUpdate(now, Update{Balancer: r.balancer, Status: StatusDead})
		case r.status == StatusLeaving:
			s.put(r.withUpdate(Update{Balancer: r.balancer, Status: StatusDead}).withDeadline(now.Add(s.cfg.DeadRetention)))
		case r.listed:
			// A listed host keeps its record, so that it is contacted again.
			s.records[name] = r.withDeadline(time.Time{})
		default:
			s.forget(name)
		}
	}
}
