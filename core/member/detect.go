package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"egretdock/core/member/probe"
	"egretdock/core/model"
)

// helpers is the number of balancers asked to repeat an unanswered probe.
const helpers = 2

// finalProbers is the number of balancers in the fleet, on average, that probe
// a suspect once more before its removal. Their knowledge reaches the others in
// time, and a suspect in a large fleet is not flooded. When many are suspected
// at once, a balancer sends no more final probes than ordinary ones.
const finalProbers = 64

// announceTo is the number of balancers told of a new incarnation at once.
const announceTo = 8

// verifyOthers is the number of balancers probed out of turn for each silent
// one of the same data centre.
const verifyOthers = 4

// remoteEvery is the share of probes that leave the data centre: one in four,
// so that the traffic between data centres stays a fixed fraction.
const remoteEvery = 4

// ping sends a probe.
func (s *State) ping(now time.Time, to model.Balancer, why probe.Purpose) {
	s.seq++
	s.pending.Add(probe.Probe{Seq: s.seq, Target: to, Sent: now, Purpose: why})
	switch why.(type) {
	case probe.Direct, probe.Contact:
		s.send(to, &Ping{Header: s.head(s.seq, to.Name)})
	case probe.Indirect, probe.Relayed:
		s.send(to, &Ping{Header: s.brief(s.seq, to.Name)})
	}
}

// answered ends the probe that an ack belongs to.
func (s *State) answered(a *Ack) {
	p, ok := s.pending.Answer(a.Seq, a.From.Name)
	if !ok {
		return
	}
	switch why := p.Purpose.(type) {
	case probe.Relayed:
		s.send(why.Origin, &Ack{Header: a.WithSeq(why.Seq)})
	case probe.Direct, probe.Indirect, probe.Contact:
	}
}

// checkProbes acts on the probes whose time is up.
func (s *State) checkProbes(now time.Time, rnd *rand.Rand) {
	repeat, silent := s.pending.Expire(now.Add(-s.cfg.DirectTimeout), now.Add(-s.cfg.ProbeTimeout))
	for _, p := range repeat {
		for _, b := range s.pick(helpers, p.Target.Name, rnd) {
			s.send(b, &PingRequest{Header: s.brief(p.Seq, b.Name), Target: p.Target})
		}
	}
	for _, p := range silent {
		s.suspect(now, p.Target)
		s.verifyDataCentre(p.Target, rnd)
	}
}

// verifyDataCentre has others of a silent balancer's data centre probed soon,
// since data centres fail and are cut off as a whole. The own data centre is
// probed often enough.
func (s *State) verifyDataCentre(silent model.Balancer, rnd *rand.Rand) {
	if silent.DataCentre == s.self.DataCentre {
		return
	}
	left := verifyOthers
	for _, i := range rnd.Perm(s.view.Len()) {
		b := s.view.balancers[i]
		if left == 0 || len(s.unverified) == maxUnverified {
			return
		}
		if b.DataCentre == silent.DataCentre && s.records[b.Name].status == StatusAlive && !slices.Contains(s.unverified, b.Name) {
			s.unverified = append(s.unverified, b.Name)
			left--
		}
	}
}

// suspect starts the suspicion of the incarnation that did not answer, and
// tells it, so that it can refute at once.
func (s *State) suspect(now time.Time, b model.Balancer) {
	r := s.records[b.Name]
	if r.status != StatusAlive || !r.heard || r.balancer.Incarnation != b.Incarnation {
		return
	}
	s.apply(now, Update{Balancer: b, Status: StatusSuspect})
	s.ping(now, r.balancer, probe.Contact{})
}

// finalProbe gives a suspect another chance to refute. Its refutation may be on
// its way through the fleet; the ack brings it directly.
func (s *State) finalProbe(now time.Time, r record, rnd *rand.Rand) {
	s.put(r.withFinalProbe(now.Add(s.cfg.FinalProbeLead)))
	if rnd.IntN(max(finalProbers, s.view.Len())) < finalProbers && !now.Before(s.nextFinal) {
		s.nextFinal = now.Add(s.cfg.ProbeInterval)
		s.ping(now, r.balancer, probe.Contact{})
	}
}

// announce tells several balancers at once of the own new incarnation or
// departure. Ordinary spread alone would let some of them act on an old
// suspicion or an earlier process for seconds. After a start it waits until the
// balancer knows whom to tell.
func (s *State) announce(now time.Time, rnd *rand.Rand) {
	if s.announced || !s.ready {
		return
	}
	s.announced = true
	for _, b := range s.pick(announceTo, "", rnd) {
		s.ping(now, b, probe.Contact{})
	}
}

// probeDue sends the probes whose turn has come.
func (s *State) probeDue(now time.Time, rnd *rand.Rand) {
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

// nextTarget advances to the next live balancer to probe.
func (s *State) nextTarget(rnd *rand.Rand) (model.Balancer, bool) {
	s.turn++
	// Every other probe keeps to the regular order.
	for s.turn%2 == 0 && len(s.unverified) > 0 {
		r := s.records[s.unverified[0]]
		s.unverified = s.unverified[1:]
		if r.live() && r.status == StatusAlive {
			return r.balancer, true
		}
	}
	first, second := &s.local, &s.remote
	if s.turn%remoteEvery == 0 {
		first, second = second, first
	}
	name, ok := first.Next(rnd)
	if !ok {
		name, ok = second.Next(rnd)
	}
	return s.records[name].balancer, ok
}

// contactMissing pings a listed host that is not live.
func (s *State) contactMissing(now time.Time, rnd *rand.Rand) {
	if name, ok := s.missing.Next(rnd); ok {
		if b := s.records[name].balancer; b.Peer.IsValid() {
			s.ping(now, b, probe.Contact{})
		}
	}
}

// pick returns up to n random live balancers other than self and the excluded
// one.
func (s *State) pick(n int, exclude string, rnd *rand.Rand) []model.Balancer {
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
