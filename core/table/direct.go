package table

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/roster"
)

// Backend is an instance in the routing view of opaque flows. It is immutable,
// except that State has its own lock.
type Backend struct {
	roster.Member
	// Token identifies the instance in the packets of its open flows; never 0.
	Token uint32
	// Key is the instance's hash for rendezvous ranking.
	Key uint64
	// State is shared by all views until the instance starts again.
	State *Upstream
}

// Group holds the instances of one service that new flows may be sent to.
type Group struct {
	// Local, Remote and OtherRegions are the ready instances of the own data
	// centre, of the other data centres in its region, and of other regions.
	Local, Remote, OtherRegions []*Backend
	// Lapsed are the instances that have disappeared from the list and may
	// return.
	Lapsed []*Backend
	// LocalSlots and Slots are the total slots of Local and of the region.
	LocalSlots, Slots int
}

// DirectView is the routing view of opaque flows: routes and instances. It is
// immutable.
type DirectView struct {
	Routing model.Routing
	Roster  roster.Roster
	// RoutingConfirmed and RosterConfirmed are when the store last confirmed
	// the routes and the instances; zero means never.
	RoutingConfirmed, RosterConfirmed time.Time

	groups map[string]*Group
	byID   map[uint64]*Backend
	// byToken has several instances for a token when their hashes collide.
	byToken map[uint32][]*Backend
}

// Group returns the instances of a service; never nil.
func (d *DirectView) Group(service string) *Group {
	if g, ok := d.groups[service]; ok {
		return g
	}
	return &Group{}
}

// Backend returns the instance with an ID.
func (d *DirectView) Backend(id uint64) (*Backend, bool) {
	b, ok := d.byID[id]
	return b, ok
}

// ByToken returns the instances that a token of an open flow may name; usually
// one.
func (d *DirectView) ByToken(token uint32) []*Backend { return d.byToken[token] }

// ByOpeningToken returns the instances that a token of an opening may name;
// usually one.
func (d *DirectView) ByOpeningToken(token uint32) []*Backend { return d.byToken[token^openingMask] }

// Backends returns all instances; callers must not modify the map.
func (d *DirectView) Backends() map[uint64]*Backend { return d.byID }

// Token returns the token of an instance in the packets of its open flows. It is
// the same on every balancer. An instance gets it only with packets that continue
// a flow, so a client that returns it has its flow open there.
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

// openingMask distinguishes the two tokens of an instance.
const openingMask = 0x9e3779b9

// OpeningToken returns the token of an instance in openings. An opening may go to
// several instances, and the client returns the token of the last answer, also
// when its flow is open at another instance.
func OpeningToken(id uint64) uint32 { return Token(id) ^ openingMask }

// OpeningToken returns the token of the instance in openings.
func (b *Backend) OpeningToken() uint32 { return b.Token ^ openingMask }

// WithRouting returns a copy with other routes.
func (d *DirectView) WithRouting(r model.Routing) *DirectView {
	next := *d
	next.Routing = r
	return &next
}

// WithRoutingConfirmed returns a copy whose routes the store confirmed at t.
func (d *DirectView) WithRoutingConfirmed(t time.Time) *DirectView {
	next := *d
	next.RoutingConfirmed = t
	return &next
}

// WithRosterConfirmed returns a copy whose instances the store confirmed at t.
func (d *DirectView) WithRosterConfirmed(t time.Time) *DirectView {
	next := *d
	next.RosterConfirmed = t
	return &next
}

// Locality is where a balancer runs. The zero value treats all data centres as
// others of its own region.
type Locality struct {
	DataCentre string
	// Regions maps each data centre to its region; it is never modified. A data
	// centre that it lacks counts as one of the own region.
	Regions map[string]string
}

// DataCentresInRegion returns the number of data centres in the own region, at
// least 1.
func (l Locality) DataCentresInRegion() int {
	n := 0
	for dc := range l.Regions {
		if l.inOwnRegion(dc) {
			n++
		}
	}
	return max(1, n)
}

func (l Locality) inOwnRegion(dataCentre string) bool {
	region, ok := l.Regions[dataCentre]
	return !ok || region == l.Regions[l.DataCentre]
}

// WithRoster returns a copy with other instances, grouped as seen from a
// locality.
func (d *DirectView) WithRoster(r roster.Roster, l Locality) *DirectView {
	members := r.Members()
	next := &DirectView{
		Routing: d.Routing, Roster: r,
		RoutingConfirmed: d.RoutingConfirmed, RosterConfirmed: d.RosterConfirmed,
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

func (d *DirectView) add(prev *DirectView, m roster.Member) *Backend {
	b := &Backend{Member: m, Token: Token(m.Instance.ID), Key: xxhash.Sum64String(m.Instance.Name)}
	if old := prev.byID[m.Instance.ID]; old != nil && old.Instance.StartMillis == m.Instance.StartMillis {
		b.State = old.State
	} else {
		// An instance that starts at zero would get all new flows until its count
		// equals that of the others.
		b.State = &Upstream{}
		b.State.placements.Store(prev.Group(m.Instance.Service).meanPlacements(m.Instance.DataCentre))
	}
	d.byID[m.Instance.ID] = b
	d.byToken[b.Token] = append(d.byToken[b.Token], b)
	return b
}

// meanPlacements returns the mean of the recent placements of the ready
// instances in a data centre, or 0 when it has none.
func (g *Group) meanPlacements(dataCentre string) int32 {
	sum, n := int32(0), int32(0)
	for _, set := range [][]*Backend{g.Local, g.Remote, g.OtherRegions} {
		for _, b := range set {
			if b.Instance.DataCentre == dataCentre {
				sum += b.State.RecentPlacements()
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
	case l.inOwnRegion(dc):
		g.Remote = append(g.Remote, b)
		g.Slots += b.Instance.Slots
	default:
		g.OtherRegions = append(g.OtherRegions, b)
	}
}

// Direct returns the view of opaque flows in force; never nil.
func (s *Set) Direct() *DirectView {
	if d := s.direct.Load(); d != nil {
		return d
	}
	return &DirectView{}
}

// UpdateDirect replaces the view by fn's result under the view lock; a nil
// result keeps the view.
func (s *Set) UpdateDirect(h *locks.Holder, fn func(*DirectView) *DirectView) bool {
	s.viewMu.Lock(h, locks.RankView)
	defer s.viewMu.Unlock(h, locks.RankView)
	prev := s.Direct()
	next := fn(prev)
	if next == nil {
		return false
	}
	s.direct.Store(next)
	if s.directChanged != nil && (next.Routing.Position != prev.Routing.Position || next.Roster.Position != prev.Roster.Position || next.Roster.StoreUnavailable != prev.Roster.StoreUnavailable) {
		close(s.directChanged)
		s.directChanged = nil
	}
	return true
}

// WatchDirect returns the view of opaque flows and a channel that is closed
// when the position of its routes or instances changes, or the store becomes
// reachable or unreachable.
func (s *Set) WatchDirect(h *locks.Holder) (*DirectView, <-chan struct{}) {
	s.viewMu.Lock(h, locks.RankView)
	defer s.viewMu.Unlock(h, locks.RankView)
	if s.directChanged == nil {
		s.directChanged = make(chan struct{})
	}
	return s.Direct(), s.directChanged
}
