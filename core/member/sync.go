package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// pullTimeout is the wait for a page before another balancer is asked.
const pullTimeout = 300 * time.Millisecond

// fastSyncFactor bounds the time after a start or a long pause during which a
// page may be requested on each tick, in units of Config.CatchUpTimeout. A
// fleet of 1,000 that starts at once needs most of it.
const fastSyncFactor = 4

// maxUnverified bounds the balancers that are queued for probes out of turn,
// since each one delays the regular order.
const maxUnverified = 32

// listSync is the progress of reading the member list from peers page by page.
// The zero value is idle.
type listSync struct {
	active bool
	// after is the last name received.
	after string
	// seq is the sequence number of the outstanding Pull, or 0.
	seq uint64
	// next is when the next Pull may be sent.
	next time.Time
	// fast is set after a start or a long pause, when most of the list may be
	// unknown or out of date: a page is requested on each tick.
	fast bool
	// changed is set once a page has changed the set of live balancers.
	changed bool
}

// startSync starts to read the member list from its first page.
func (s *State) startSync(now time.Time, fast bool) {
	s.sync = listSync{active: true, next: now, fast: fast}
}

// sendDuePull requests the next page when it is due, and starts a sync when no
// peer has had the same digest for Config.MismatchTimeout. Each page comes from
// another random balancer, which spreads the load and the effect of an
// incomplete list.
func (s *State) sendDuePull(now time.Time, rnd *rand.Rand) {
	if !s.sync.active {
		if s.view.Len() < 2 || now.Sub(s.lastAgreed) < s.cfg.MismatchTimeout {
			return
		}
		s.startSync(now, false)
	}
	if now.Before(s.sync.next) {
		return
	}
	for _, b := range s.pickPeers(1, "", rnd) {
		s.seq++
		s.sync.seq = s.seq
		s.sync.next = now.Add(pullTimeout)
		if !s.sync.fast {
			s.sync.next = now.Add(s.cfg.PageInterval)
		}
		s.send(b, &Pull{Header: s.briefHeader(s.seq, b.Name), After: s.sync.after})
	}
}

// servePage answers a Pull. A balancer that is not settled does not answer, so
// that its incomplete list is not taken for the whole fleet.
func (s *State) servePage(now time.Time, m *Pull) {
	if !s.Settled(now) {
		return
	}
	bs := s.view.balancers
	i, found := slices.BinarySearchFunc(bs, m.After, byName)
	if found {
		i++
	}
	end := min(i+PageUpdates, len(bs))
	page := &Page{Header: s.plainHeader(m.Seq)}
	for _, b := range bs[i:end] {
		page.Updates = append(page.Updates, Update{Balancer: b})
	}
	if end < len(bs) {
		page.Next = bs[end-1].Name
	}
	s.send(m.From, page)
}

// handlePage applies a page and, if it answers the outstanding Pull, advances
// the sync.
func (s *State) handlePage(now time.Time, m *Page) {
	current := s.sync.active && m.Seq == s.sync.seq
	if current {
		s.queueUnverified(m)
	}
	before := s.digest
	s.applyHeader(now, &m.Header)
	if !current || !s.sync.active {
		return
	}
	s.sync.changed = s.sync.changed || s.digest != before
	s.sync.seq, s.sync.after = 0, m.Next
	if s.sync.fast {
		s.sync.next = now
	}
	if m.Next != "" {
		return
	}
	s.caughtUp = true
	s.lastAgreed = now
	again := s.sync.changed && s.digest != m.Digest
	fast := s.sync.fast && now.Sub(s.catchUpStart) < fastSyncFactor*s.cfg.CatchUpTimeout
	s.sync = listSync{}
	if again {
		// Some pages may have come from peers that were still catching up.
		s.startSync(now, fast)
	}
}

// queueUnverified queues the live balancers that a page should name but does
// not for probes out of turn: they may have died while this balancer was
// paused.
func (s *State) queueUnverified(m *Page) {
	listed := make(map[string]bool, len(m.Updates))
	for _, u := range m.Updates {
		listed[u.Balancer.Name] = true
	}
	for _, b := range s.view.balancers {
		if len(s.unverified) == maxUnverified {
			return
		}
		if b.Name > s.sync.after && (m.Next == "" || strings.Compare(b.Name, m.Next) <= 0) &&
			!listed[b.Name] && b.Name != s.self.Name && !slices.Contains(s.unverified, b.Name) {
			s.unverified = append(s.unverified, b.Name)
		}
	}
}
