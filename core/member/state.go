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

// State is one balancer's membership: a SWIM failure detector and the spread
// of its findings. It is not safe for concurrent use.
type State struct {
	cfg Config
	// self has the current incarnation.
	self model.Balancer
	// left is set once the balancer announced that it leaves.
	left     bool
	revision uint64
	// records never holds self.
	records map[string]record
	// timed names the records with a deadline, each once.
	timed []string
	// digest is the xor of the fingerprints of the live balancers.
	digest uint64
	// view follows records by applying edits at the end of each command.
	view  View
	edits []edit

	queue spread.Queue
	// corrections are names that the sender of the current message needs.
	corrections []string
	out         []Envelope

	// local and remote hold the live balancers of the own and of other data
	// centres; missing holds the listed hosts that are not live.
	local, remote, missing order.Ring
	// announced is false while peers are to be told of the own incarnation or departure.
	announced bool
	// unverified balancers are probed out of turn.
	unverified  []string
	turn        uint64
	seq         uint64
	pending     probe.Table
	nextProbe   time.Time
	nextContact time.Time
	// nextFinal is when another final probe may be sent.
	nextFinal time.Time

	sync catchUp
	// agreed is when a peer last saw the same live balancers.
	agreed time.Time

	// ticked is the time of the last tick; zero before the first.
	ticked time.Time
	// joined is when the balancer started or resumed.
	joined time.Time
	// ready is set once the balancer has caught up with a peer since joined.
	ready bool
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

// put stores a record and keeps the rings, the timers and the view consistent.
func (s *State) put(next record) {
	name := next.balancer.Name
	old := s.records[name]
	s.records[name] = next
	s.move(name, s.ring(old), s.ring(next))
	if !next.deadline.IsZero() && !slices.Contains(s.timed, name) {
		s.timed = append(s.timed, name)
	}
	s.edit(old.live(), old.balancer, edit{balancer: next.balancer, live: next.live(), leaving: next.leaving()})
}

// edit notes a change of the view and brings the digest up to date.
func (s *State) edit(wasLive bool, was model.Balancer, e edit) {
	if wasLive {
		s.digest ^= fingerprint(was)
	}
	if e.live {
		s.digest ^= fingerprint(e.balancer)
	}
	s.edits = append(s.edits, e)
}

// setSelf changes the own incarnation or departure.
func (s *State) setSelf(next model.Balancer, left bool) {
	s.edit(!s.left, s.self, edit{balancer: next, live: !left, leaving: left})
	s.self, s.left = next, left
}

// forget deletes a record.
func (s *State) forget(name string) {
	s.move(name, s.ring(s.records[name]), nil)
	delete(s.records, name)
	s.queue.Remove(name)
}

// ring returns the order in which the balancer of a record is probed, or nil.
func (s *State) ring(r record) *order.Ring {
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

// flush ends a command: it brings the view up to date and hands over the
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

// head starts a message with as much news as fits.
func (s *State) head(seq uint64, to string) Header {
	h := s.brief(seq, to)
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

// brief starts a message with only the own departure and what the receiver
// must refute. Messages that failures cause are brief, so that many failures
// at once don't multiply the traffic.
func (s *State) brief(seq uint64, to string) Header {
	h := s.plain(seq)
	if s.left {
		h.Updates = append(h.Updates, Update{Balancer: s.self, Status: StatusLeaving})
	}
	if r := s.records[to]; r.heard && r.status != StatusAlive {
		h.Updates = append(h.Updates, r.update())
	}
	return h
}

// plain starts a message without news.
func (s *State) plain(seq uint64) Header {
	return Header{Seq: seq, From: s.self, Revision: s.revision, Digest: s.digest}
}

func (s *State) send(to model.Balancer, m Message) { s.out = append(s.out, Envelope{To: to, Message: m}) }
