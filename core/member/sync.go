package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// pullTimeout is the wait for a page before another balancer is asked.
const pullTimeout = 300 * time.Millisecond

// fastGraces bounds the time after a start or a pause during which pages may
// follow each other on each tick, in units of Config.Grace. A whole fleet of
// 1,000 that starts at once needs most of it.
const fastGraces = 4

// maxUnverified bounds the balancers that are probed out of turn, since each one
// delays the regular order.
const maxUnverified = 32

// catchUp is the progress of reading a peer's member list page by page. The
// zero value is idle.
type catchUp struct {
	active bool
	// after is the last name received.
	after string
	// seq is the outstanding Pull, or 0.
	seq uint64
	// next is when the next Pull may be sent.
	next time.Time
	// fast is set after a start or a pause, when there is little to lose and
	// much to learn: pages follow each other on each tick.
	fast bool
	// learned is set once a page had something new.
	learned bool
}

// startSync begins to read the member list of others from the start.
func (s *State) startSync(now time.Time, fast bool) {
	s.sync = catchUp{active: true, next: now, fast: fast}
}

// pullDue asks for the next page when its time has come. Each page comes from
// another random balancer, which spreads the load and any error.
func (s *State) pullDue(now time.Time, rnd *rand.Rand) {
	if !s.sync.active {
		if s.view.Len() < 2 || now.Sub(s.agreed) < s.cfg.MismatchTimeout {
			return
		}
		s.startSync(now, false)
	}
	if now.Before(s.sync.next) {
		return
	}
	for _, b := range s.pick(1, "", rnd) {
		s.seq++
		s.sync.seq = s.seq
		s.sync.next = now.Add(pullTimeout)
		if !s.sync.fast {
			s.sync.next = now.Add(s.cfg.PageInterval)
		}
		s.send(b, &Pull{Header: s.brief(s.seq, b.Name), After: s.sync.after})
	}
}

// servePage answers a Pull. A balancer that is catching up itself stays
// silent, so that an incomplete list is not taken for the fleet.
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
	page := &Page{Header: s.plain(m.Seq)}
	for _, b := range bs[i:end] {
		page.Updates = append(page.Updates, Update{Balancer: b})
	}
	if end < len(bs) {
		page.Next = bs[end-1].Name
	}
	s.send(m.From, page)
}

// readPage takes in the answer to the outstanding Pull.
func (s *State) readPage(now time.Time, m *Page) {
	current := s.sync.active && m.Seq == s.sync.seq
	if current {
		s.queueUnverified(m)
	}
	before := s.digest
	s.learn(now, &m.Header)
	if !current || !s.sync.active {
		return
	}
	s.sync.learned = s.sync.learned || s.digest != before
	s.sync.seq, s.sync.after = 0, m.Next
	if s.sync.fast {
		s.sync.next = now
	}
	if m.Next != "" {
		return
	}
	s.ready = true
	s.agreed = now
	again := s.sync.learned && s.digest != m.Digest
	fast := s.sync.fast && now.Sub(s.joined) < fastGraces*s.cfg.CatchUpTimeout
	s.sync = catchUp{}
	if again {
		// Peers that are catching up themselves serve incomplete pages.
		s.startSync(now, fast)
	}
}

// queueUnverified has the live balancers probed soon that a page should name but does
// not: they may have died while this balancer was paused.
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
