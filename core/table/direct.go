package table

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/roster"
)

// Backend is an instance as new flows and tokens see it. It is immutable,
// except that State has its own lock.
type Backend struct {
	roster.Member
	// Token names the instance in the packets of its flows; never 0.
	Token uint32
	// Key is the instance's hash for rendezvous ranking.
	Key uint64
	// State is shared by all views while the instance has not started again.
	State *Upstream
}

// Group is the instances of one service that new flows may be sent to.
type Group struct {
	// Local and Remote are ready instances of the own and of the other data
	// centres of the region, Far those of other regions.
	Local, Remote, Far []*Backend
	// Lapsed are those that have vanished from the list and may be back.
	Lapsed []*Backend
	// LocalSlots and Slots are the slots of Local, and of the region.
	LocalSlots, Slots int
}

// Direct is the routing view of opaque flows: routes and instances. It is
// immutable.
type Direct struct {
	Routing model.Routing
	Roster  roster.Roster
	// RoutingSeen and RosterSeen are when the store last confirmed them; zero
	// means never.
	RoutingSeen, RosterSeen time.Time

	groups map[string]*Group
	byID   map[uint64]*Backend
	// byToken has several instances of a token when their hashes collide.
	byToken map[uint32][]*Backend
}

// Group returns the instances of a service; never nil.
func (d *Direct) Group(service string) *Group {
	if g, ok := d.groups[service]; ok {
		return g
	}
	return &Group{}
}

// Backend returns the instance with an ID.
func (d *Direct) Backend(id uint64) (*Backend, bool) {
	b, ok := d.byID[id]
	return b, ok
}

// ByToken returns the instances that a token may name; usually one.
func (d *Direct) ByToken(token uint32) []*Backend { return d.byToken[token] }

// Backends returns all instances; users must not modify the map.
func (d *Direct) Backends() map[uint64]*Backend { return d.byID }

// Token returns the token of an instance: every balancer computes the same one.
func Token(id uint64) uint32 {
	var b [8]byte
	for i := range b {
		b[i] = byte(id >> (56 - 8*i))
	}
	if t := uint32(xxhash.Sum64(b[:])); t != 0 {
		return t
	}
	return 1
}

// WithRouting returns a view with other routes.
func (d *Direct) WithRouting(r model.Routing) *Direct {
	next := *d
	next.Routing = r
	return &next
}

// WithRoutingSeen returns a view whose routes were confirmed at a time.
func (d *Direct) WithRoutingSeen(t time.Time) *Direct {
	next := *d
	next.RoutingSeen = t
	return &next
}

// WithRosterSeen returns a view whose instances were confirmed at a time.
func (d *Direct) WithRosterSeen(t time.Time) *Direct {
	next := *d
	next.RosterSeen = t
	return &next
}

// Locality is where a balancer runs. The zero value takes all data centres as
// others of its own region.
type Locality struct {
	DataCentre string
	// Regions gives the region of each data centre; never modified. A data centre
	// that it lacks counts as one of the own region.
	Regions map[string]string
}

// Peers returns the number of data centres in the own region, at least 1.
func (l Locality) Peers() int {
	n := 0
	for dc := range l.Regions {
		if l.near(dc) {
			n++
		}
	}
	return max(1, n)
}

func (l Locality) near(dataCentre string) bool {
	region, ok := l.Regions[dataCentre]
	return !ok || region == l.Regions[l.DataCentre]
}

// WithRoster returns a view of other instances, as seen from a locality.
func (d *Direct) WithRoster(r roster.Roster, l Locality) *Direct {
	members := r.Members()
	next := &Direct{
		Routing: d.Routing, Roster: r,
		RoutingSeen: d.RoutingSeen, RosterSeen: d.RosterSeen,
		groups:  make(map[string]*Group),
		byID:    make(map[uint64]*Backend, len(members)),
		byToken: make(map[uint32][]*Backend, len(members)),
	}
	for _, m := range members {
		b := next.add(d, m)
		g := next.groups[m.Instance.Service]
		if g == nil {
			g = &Group{}
			next.groups[m.Instance.Service] = g
		}
		g.add(b, l)
	}
	return next
}

func (d *Direct) add(prev *Direct, m roster.Member) *Backend {
	b := &Backend{Member: m, Token: Token(m.Instance.ID), Key: xxhash.Sum64String(m.Instance.Name)}
	if old := prev.byID[m.Instance.ID]; old != nil && old.Instance.StartMillis == m.Instance.StartMillis {
		b.State = old.State
	} else {
		// A count of zero would draw all new flows until it equals the others.
		b.State = &Upstream{}
		b.State.placed.Store(prev.Group(m.Instance.Service).meanPlaced(m.Instance.DataCentre))
	}
	d.byID[m.Instance.ID] = b
	d.byToken[b.Token] = append(d.byToken[b.Token], b)
	return b
}

// meanPlaced returns the mean of what the ready instances in a data centre were
// given of late.
func (g *Group) meanPlaced(dataCentre string) int32 {
	sum, n := int32(0), int32(0)
	for _, set := range [][]*Backend{g.Local, g.Remote, g.Far} {
		for _, b := range set {
			if b.Instance.DataCentre == dataCentre {
				sum += b.State.Placed()
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

func (g *Group) add(b *Backend, l Locality) {
	switch b.Status {
	case roster.StatusReady:
		g.addReady(b, l)
	case roster.StatusLapsed:
		g.Lapsed = append(g.Lapsed, b)
	case roster.StatusDraining, roster.StatusUnreadable, roster.StatusDeparting, roster.StatusGone:
	}
}

func (g *Group) addReady(b *Backend, l Locality) {
	switch dc := b.Instance.DataCentre; {
	case dc == l.DataCentre:
		g.Local = append(g.Local, b)
		g.LocalSlots += b.Instance.Slots
		g.Slots += b.Instance.Slots
	case l.near(dc):
		g.Remote = append(g.Remote, b)
		g.Slots += b.Instance.Slots
	default:
		g.Far = append(g.Far, b)
	}
}

// Direct returns the view of opaque flows in force; never nil.
func (s *Set) Direct() *Direct {
	if d := s.direct.Load(); d != nil {
		return d
	}
	return &Direct{}
}

// UpdateDirect replaces the view by fn's result under the view lock; a nil
// result keeps the view.
func (s *Set) UpdateDirect(h *locks.Holder, fn func(*Direct) *Direct) bool {
	s.viewMu.Lock(h, locks.RankView)
	defer s.viewMu.Unlock(h, locks.RankView)
	prev := s.Direct()
	next := fn(prev)
	if next == nil {
		return false
	}
	s.direct.Store(next)
	if s.renewed != nil && (next.Routing.Revision != prev.Routing.Revision || next.Roster.Revision != prev.Roster.Revision || next.Roster.StoreUnavailable != prev.Roster.StoreUnavailable) {
		close(s.renewed)
		s.renewed = nil
	}
	return true
}

// Renewed returns the view of opaque flows and a channel that is closed when the
// view gets other revisions.
func (s *Set) Renewed(h *locks.Holder) (*Direct, <-chan struct{}) {
	s.viewMu.Lock(h, locks.RankView)
	defer s.viewMu.Unlock(h, locks.RankView)
	if s.renewed == nil {
		s.renewed = make(chan struct{})
	}
	return s.Direct(), s.renewed
}
