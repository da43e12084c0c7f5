package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"egretdock/core/member/probe"
	"egretdock/core/model"
)

// indirectProbers is the number of balancers asked to repeat an unanswered
// probe.
const indirectProbers = 2

// finalProbers is the average number of balancers in the fleet that probe a
// suspect once more before its removal. The result reaches the other balancers
// before they remove the suspect, and in a large fleet the suspect is not
// flooded. When many balancers are suspected at once, each balancer sends final
// probes at no more than its ordinary probe rate.
const finalProbers = 64

// announceFanout is the number of balancers that are pinged at once to announce
// a new incarnation or a departure.
const announceFanout = 8

// verifyFanout is the number of balancers of a data centre that are probed out
// of turn for each silent one.
const verifyFanout = 4

// remoteProbePeriod makes every fourth probe go to another data centre, so that
// the traffic between data centres stays a fixed fraction.
const remoteProbePeriod = 4

// ping sends a ping and records it as an outstanding probe.
func (s *State) ping(now time.Time, to model.Balancer, purpose probe.Purpose) {
	s.seq++
	s.pendingProbes.Add(probe.Probe{Seq: s.seq, Target: to, Sent: now, Purpose: purpose})
	switch purpose.(type) {
	case probe.Direct, probe.Contact:
		s.send(to, &Ping{Header: s.header(s.seq, to.Name)})
	case probe.Indirect, probe.Relayed:
		s.send(to, &Ping{Header: s.briefHeader(s.seq, to.Name)})
	}
}

// handleAck ends the probe that an ack answers and passes the ack on if the
// probe was relayed.
func (s *State) handleAck(a *Ack) {
	p, ok := s.pendingProbes.Answer(a.Seq, a.From.Name)
	if !ok {
		return
	}
	switch purpose := p.Purpose.(type) {
	case probe.Relayed:
		s.send(purpose.Origin, &Ack{Header: a.WithSeq(purpose.Seq)})
	case probe.Direct, probe.Indirect, probe.Contact:
	}
}

// checkProbes repeats unanswered probes through other balancers and suspects
// the targets whose probes have timed out.
func (s *State) checkProbes(now time.Time, rnd *rand.Rand) {
	unanswered, timedOut := s.pendingProbes.Expire(now.Add(-s.cfg.DirectTimeout), now.Add(-s.cfg.ProbeTimeout))
	for _, p := range unanswered {
		for _, b := range s.pickPeers(indirectProbers, p.Target.Name, rnd) {
			s.send(b, &PingRequest{Header: s.briefHeader(p.Seq, b.Name), Target: p.Target})
		}
	}
	for _, p := range timedOut {
		s.suspect(now, p.Target)
		s.verifyDataCentre(p.Target, rnd)
	}
}

// verifyDataCentre queues other balancers of a silent balancer's data centre
// for probes out of turn, since data centres fail or are cut off as a whole.
// This balancer's data centre is probed often enough without it.
func (s *State) verifyDataCentre(silent model.Balancer, rnd *rand.Rand) {
	if silent.DataCentre == s.self.DataCentre {
		return
	}
	remaining := verifyFanout
	for _, i := range rnd.Perm(s.view.Len()) {
		b := s.view.balancers[i]
		if remaining == 0 || len(s.unverified) == maxUnverified {
			return
		}
		if b.DataCentre == silent.DataCentre && s.records[b.Name].status == StatusAlive && !slices.Contains(s.unverified, b.Name) {
			s.unverified = append(s.unverified, b.Name)
			remaining--
		}
	}
}

// suspect marks the incarnation that did not answer as suspect and pings it, so
// that it can refute at once.
func (s *State) suspect(now time.Time, b model.Balancer) {
	r := s.records[b.Name]
	if r.status != StatusAlive || !r.statusKnown || r.balancer.Incarnation != b.Incarnation {
		return
	}
	s.applyUpdate(now, Update{Balancer: b, Status: StatusSuspect})
	s.ping(now, r.balancer, probe.Contact{})
}

// finalProbe pings a suspect once more before its removal. A refutation may
// still be spreading through the fleet; the ack delivers it directly.
func (s *State) finalProbe(now time.Time, r record, rnd *rand.Rand) {
	s.put(r.withFinalProbe(now.Add(s.cfg.FinalProbeLead)))
	if rnd.IntN(max(finalProbers, s.view.Len())) < finalProbers && !now.Before(s.nextFinalProbe) {
		s.nextFinalProbe = now.Add(s.cfg.ProbeInterval)
		s.ping(now, r.balancer, probe.Contact{})
	}
}

// announce pings several balancers at once after a change of this balancer's
// incarnation or after its departure. With piggybacked updates alone, some
// peers would act on an old suspicion or an earlier process for seconds. After
// a start it waits until this balancer has caught up and knows its peers.
func (s *State) announce(now time.Time, rnd *rand.Rand) {
	if s.announced || !s.caughtUp {
		return
	}
	s.announced = true
	for _, b := range s.pickPeers(announceFanout, "", rnd) {
		s.ping(now, b, probe.Contact{})
	}
}

// sendDueProbes probes the next live balancer and the next missing host when
// they are due.
func (s *State) sendDueProbes(now time.Time, rnd *rand.Rand) {
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(s.cfg.ProbeInterval)
		if b, ok := s.nextTarget(rnd); ok {
			s.ping(now, b, probe.Direct{})
		} else {
			s.contactMissing(now, rnd)
		}
	}
	if !now.Before(s.nextContact) {
		s.nextContact = now.Add(s.cfg.ContactInterval)
		s.contactMissing(now, rnd)
	}
}

// nextTarget returns the next live balancer to probe.
func (s *State) nextTarget(rnd *rand.Rand) (model.Balancer, bool) {
	s.probeTurn++
	// Every second probe follows the regular order.
	for s.probeTurn%2 == 0 && len(s.unverified) > 0 {
		r := s.records[s.unverified[0]]
		s.unverified = s.unverified[1:]
		if r.live() && r.status == StatusAlive {
			return r.balancer, true
		}
	}
	first, second := &s.local, &s.remote
	if s.probeTurn%remoteProbePeriod == 0 {
		first, second = second, first
	}
	name, ok := first.Next(rnd)
	if !ok {
		name, ok = second.Next(rnd)
	}
	return s.records[name].balancer, ok
}

// contactMissing pings the next listed host that is not live.
func (s *State) contactMissing(now time.Time, rnd *rand.Rand) {
	if name, ok := s.missing.Next(rnd); ok {
		if b := s.records[name].balancer; b.Peer.IsValid() {
			s.ping(now, b, probe.Contact{})
		}
	}
}

// pickPeers returns up to n random live balancers that are not suspect, other
// than self and the excluded one.
func (s *State) pickPeers(n int, exclude string, rnd *rand.Rand) []model.Balancer {
	var out []model.Balancer
	for _, i := range rnd.Perm(s.view.Len()) {
		if len(out) == n {
			break
		}
		b := s.view.balancers[i]
		if b.Name != s.self.Name && b.Name != exclude && s.records[b.Name].status == StatusAlive {
			out = append(out, b)
		}
	}
	return out
}
