package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/member/order"
	"egretdock/core/member/probe"
	"egretdock/core/member/spread"
	"egretdock/core/model"
	"egretdock/core/rank"
)

// State is one balancer's membership state: a SWIM failure detector and the
// dissemination of its updates. It is not safe for concurrent use.
type State struct {
	cfg Config
	// self is this balancer with its current incarnation.
	self model.Balancer
	// leaving is set by Leave.
	leaving  bool
	revision uint64
	// records holds the known and the listed balancers by name, without self.
	records map[string]record
	// deadlines holds the name of each record with a deadline once; names whose
	// deadline was cleared are removed by expireRecords.
	deadlines []string
	// digest is the xor of the fingerprints of the live balancers.
	digest uint64
	// view holds the live and leaving balancers; edits are the changes that flush
	// applies to it at the end of each command.
	view  View
	edits []edit

	queue spread.Queue
	// corrections names the balancers whose state the sender of the current
	// message does not know.
	corrections []string
	out         []Envelope

	// local and remote hold the live balancers of this and of other data centres;
	// missing holds the listed hosts that are neither live nor leaving.
	local, remote, missing order.Ring
	// announced is false while a new incarnation or the departure of this balancer
	// is still to be announced.
	announced bool
	// unverified holds the balancers to probe out of turn.
	unverified []string
	// probeTurn counts the probes of live balancers.
	probeTurn     uint64
	seq           uint64
	pendingProbes probe.Table
	nextProbe     time.Time
	nextContact   time.Time
	// nextFinalProbe is the earliest time of another final probe.
	nextFinalProbe time.Time

	sync listSync
	// lastAgreed is when a peer last reported the same digest; a start and the end
	// of a sync count too.
	lastAgreed time.Time

	// lastTick is the time of the last tick; zero before the first.
	lastTick time.Time
	// catchUpStart is when the balancer started or resumed after a long pause.
	catchUpStart time.Time
	// caughtUp is set once the balancer has read the whole member list from peers
	// since catchUpStart.
	caughtUp bool
}

// New returns the state of a balancer that knows no other. The incarnation of
// self must be above that of any earlier process of the same name; if it is
// not, the balancer raises it as soon as a peer contradicts.
func New(self model.Balancer, cfg Config) *State {
	return &State{
		cfg: cfg.WithDefaults(), self: self, records: make(map[string]record),
		view: NewView([]model.Balancer{self}), digest: fingerprint(self),
	}
}

// put stores a record and updates the rings, the deadlines and the view to
// match.
func (s *State) put(next record) {
	name := next.balancer.Name
	old := s.records[name]
	s.records[name] = next
	s.move(name, s.ringOf(old), s.ringOf(next))
	if !next.deadline.IsZero() && !slices.Contains(s.deadlines, name) {
		s.deadlines = append(s.deadlines, name)
	}
	s.queueEdit(old.live(), old.balancer, edit{balancer: next.balancer, live: next.live(), leaving: next.leaving()})
}

// queueEdit queues a change of the view for flush and updates the digest.
func (s *State) queueEdit(wasLive bool, prev model.Balancer, e edit) {
	if wasLive {
		s.digest ^= fingerprint(prev)
	}
	if e.live {
		s.digest ^= fingerprint(e.balancer)
	}
	s.edits = append(s.edits, e)
}

// setSelf changes this balancer's incarnation or marks it as leaving.
func (s *State) setSelf(next model.Balancer, leaving bool) {
	s.queueEdit(!s.leaving, s.self, edit{balancer: next, live: !leaving, leaving: leaving})
	s.self, s.leaving = next, leaving
}

// forget deletes a record and its queued update.
func (s *State) forget(name string) {
	s.move(name, s.ringOf(s.records[name]), nil)
	delete(s.records, name)
	s.queue.Remove(name)
}

// ringOf returns the ring from which the balancer of a record is probed, or
// nil.
func (s *State) ringOf(r record) *order.Ring {
	switch {
	case r.missing():
		return &s.missing
	case !r.live():
		return nil
	case r.balancer.DataCentre == s.self.DataCentre:
		return &s.local
	default:
		return &s.remote
	}
}

// move moves a name between rings; nil stands for no ring.
func (s *State) move(name string, from, to *order.Ring) {
	if from == to {
		return
	}
	if from != nil {
		from.Remove(name)
	}
	if to != nil {
		to.Add(name)
	}
}

// flush ends a command: it applies the queued edits to the view and returns the
// messages to send.
func (s *State) flush() []Envelope {
	if len(s.edits) > 0 {
		s.view = s.view.withEdits(s.edits)
		s.edits = s.edits[:0]
	}
	s.corrections = s.corrections[:0]
	out := s.out
	s.out = nil
	return out
}

// fingerprint identifies one incarnation of a balancer.
func fingerprint(b model.Balancer) uint64 {
	return rank.Mix(xxhash.Sum64String(b.Name) + rank.Mix(b.Incarnation))
}

// header returns the header of a message to a balancer, with corrections and as
// many queued updates as fit.
func (s *State) header(seq uint64, to string) Header {
	h := s.briefHeader(seq, to)
	for _, name := range s.corrections {
		if len(h.Updates) < MaxUpdates && name != to {
			h.Updates = append(h.Updates, s.records[name].update())
		}
	}
	for _, name := range s.queue.Take(MaxUpdates-len(h.Updates), append(s.corrections, to)...) {
		h.Updates = append(h.Updates, s.records[name].update())
	}
	return h
}

// briefHeader returns a header whose only updates are this balancer's departure
// and the receiver's status if the receiver must refute it. Messages that
// failures cause have a brief header, so that many failures at once don't
// multiply the traffic.
func (s *State) briefHeader(seq uint64, to string) Header {
	h := s.plainHeader(seq)
	if s.leaving {
		h.Updates = append(h.Updates, Update{Balancer: s.self, Status: StatusLeaving})
	}
	if r := s.records[to]; r.statusKnown && r.status != StatusAlive {
		h.Updates = append(h.Updates, r.update())
	}
	return h
}

// plainHeader returns a header without updates.
func (s *State) plainHeader(seq uint64) Header {
	return Header{Seq: seq, From: s.self, Revision: s.revision, Digest: s.digest}
}

func (s *State) send(to model.Balancer, m Message) {
	s.out = append(s.out, Envelope{To: to, Message: m})
}
