package member

import (
	"math/rand/v2"
	"time"

	"egretdock/core/member/probe"
	"egretdock/core/model"
)

// helpers is the number of balancers asked to repeat an unanswered probe.
const helpers = 2

// remoteEvery is the share of probes that leave the data centre: one in four,
// so that the traffic between data centres stays a fixed fraction.
const remoteEvery = 4

// ping sends a probe.
func (s *State) ping(now time.Time, to model.Balancer, why probe.Purpose) {
	s.seq++
	s.pending.Add(probe.Probe{Seq: s.seq, Target: to, Sent: now, Why: why})
	s.send(to, &Ping{Head: s.head(s.seq, to.Name)})
}

// answered ends the probe that an ack belongs to.
func (s *State) answered(a *Ack) {
	p, ok := s.pending.Answer(a.Seq, a.From.Name)
	if !ok {
		return
	}
	switch why := p.Why.(type) {
	case probe.Relayed:
		s.send(why.Origin, &Ack{Head: a.WithSeq(why.Seq)})
	case probe.Direct, probe.Indirect, probe.Contact:
	}
}

// checkProbes acts on the probes whose time is up.
func (s *State) checkProbes(now time.Time, rnd *rand.Rand) {
	repeat, silent := s.pending.Expire(now.Add(-s.cfg.DirectTimeout), now.Add(-s.cfg.ProbeTimeout))
	for _, p := range repeat {
		for _, b := range s.pick(helpers, p.Target.Name, rnd) {
			s.send(b, &PingRequest{Head: s.head(p.Seq, b.Name), Target: p.Target})
		}
	}
	for _, p := range silent {
		s.suspect(now, p.Target)
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

// probeDue sends the probes whose turn has come.
func (s *State) probeDue(now time.Time, rnd *rand.Rand) {
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(s.cfg.ProbeInterval)
		if b, ok := s.nextTarget(rnd); ok {
			s.ping(now, b, probe.Direct{})
		} else {
			s.contactLost(now, rnd)
		}
	}
	if !now.Before(s.nextContact) {
		s.nextContact = now.Add(s.cfg.ContactInterval)
		s.contactLost(now, rnd)
	}
}

// nextTarget advances to the next live balancer to probe.
func (s *State) nextTarget(rnd *rand.Rand) (model.Balancer, bool) {
	for len(s.doubted) > 0 {
		r := s.records[s.doubted[0]]
		s.doubted = s.doubted[1:]
		if r.live() {
			return r.balancer, true
		}
	}
	s.turn++
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

// contactLost pings a listed host that is not live.
func (s *State) contactLost(now time.Time, rnd *rand.Rand) {
	if name, ok := s.lost.Next(rnd); ok {
		if b := s.records[name].balancer; b.Peer.IsValid() {
			s.ping(now, b, probe.Contact{})
		}
	}
}

// pick returns up to n random live balancers other than self and the excluded
// one.
func (s *State) pick(n int, exclude string, rnd *rand.Rand) []model.Balancer {
	bs := s.view.balancers
	var out []model.Balancer
	if len(bs) == 0 {
		return nil
	}
	// Distinct candidates follow a random start with a random stride, so that
	// neighbours in name order are not always asked together.
	at, stride := rnd.IntN(len(bs)), 1+rnd.IntN(max(1, len(bs)-1))
	for range min(len(bs), 4*n+4) {
		b := bs[at]
		at = (at + stride) % len(bs)
		if b.Name == s.self.Name || b.Name == exclude || s.records[b.Name].status != StatusAlive {
			continue
		}
		if len(out) > 0 && out[0].Name == b.Name {
			continue
		}
		if out = append(out, b); len(out) == n {
			break
		}
	}
	return out
}
