package query

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"egretdock/core/health"
	"egretdock/core/locks"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/roster"
	"egretdock/core/table"
)

var (
	placeStart = time.Now()
	feeds      = model.Route{Services: []model.WeightedService{{Service: "desk", Weight: 1}}, Idempotent: true}
	orders     = model.Route{Services: []model.WeightedService{{Service: "desk", Weight: 1}}}
)

// view returns the view from data centre "ain" of instances numbered from 1,
// one for each data centre named.
func view(dataCentres ...string) *table.DirectView {
	var list []model.InstanceChange
	for i, dc := range dataCentres {
		list = append(list, model.InstanceChange{Instance: model.Instance{
			ID: uint64(i + 1), Name: fmt.Sprintf("i-%d", i+1), Service: "desk", DataCentre: dc, Slots: 2,
			Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), uint16(8080+i>>8)),
		}})
	}
	return (&table.DirectView{}).WithRoster(roster.Roster{}.WithList(placeStart, list, model.Position{Revision: 1}), table.Locality{DataCentre: "ain"})
}

func flowID(i int) packet.FlowID {
	return packet.FlowID{
		Client:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(i >> 8)}), uint16(1024+i)),
		Address: netip.MustParseAddrPort("198.18.0.1:80"),
	}
}

// place places n flows, counts each where it was placed, and returns the share
// of each data centre.
func place(t *testing.T, d *table.DirectView, route model.Route, size FleetSize, now time.Time, n int) map[string]float64 {
	t.Helper()
	count := make(map[string]int)
	for i := range n {
		c := Place(d, route, flowID(i), &table.Track{}, nil, size, now)
		if c.Backend == nil {
			t.Fatalf("flow %d has no instance", i)
		}
		c.Backend.State.CountPlacement()
		if route.Idempotent {
			c.Backend.State.AddOpenFlows(1)
		}
		count[c.Backend.Instance.DataCentre]++
	}
	out := make(map[string]float64, len(count))
	for dc, k := range count {
		out[dc] = float64(k) / float64(n)
	}
	return out
}

// observeAnswers makes an instance answer a request every interval for ten
// seconds. It returns the time of the last answer.
func observeAnswers(d *table.DirectView, id uint64, took, interval time.Duration) time.Time {
	var h locks.Holder
	b, _ := d.Backend(id)
	now := placeStart
	for now.Sub(placeStart) < 10*time.Second {
		now = now.Add(interval)
		b.State.Observe(&h, now, health.Answered{Incarnation: id, Latency: took})
	}
	return now
}

func assertShare(t *testing.T, got map[string]float64, dataCentre string, low, high float64) {
	t.Helper()
	if s := got[dataCentre]; s < low || s > high {
		t.Errorf("share of %s is %.2f, want %.2f to %.2f", dataCentre, s, low, high)
	}
}

// Guards against needless transfer between data centres.
func TestOwnDataCentreComesFirst(t *testing.T) {
	d := view("ain", "ain", "sidi", "sidi")
	for name, r := range map[string]model.Route{"feeds": feeds, "orders": orders} {
		t.Run(name, func(t *testing.T) {
			assertShare(t, place(t, d, r, FleetSize{DataCentres: 2, Balancers: 1}, placeStart, 200), "ain", 1, 1)
		})
	}
}

// Guards against a data centre with few instances that has to serve all flows
// of its clients.
func TestSmallDataCentreShares(t *testing.T) {
	d := view("ain", "sidi", "sidi", "sidi", "sidi", "sidi", "sidi", "sidi")
	assertShare(t, place(t, d, orders, FleetSize{DataCentres: 2, Balancers: 1}, placeStart, 400), "ain", 0.2, 0.6)
	t.Run("none", func(t *testing.T) {
		assertShare(t, place(t, view("sidi"), orders, FleetSize{DataCentres: 2, Balancers: 1}, placeStart, 20), "sidi", 1, 1)
	})
}

// Guards against flows that go to another region while their own has instances.
func TestRegionsComeInOrder(t *testing.T) {
	l := table.Locality{DataCentre: "ain", Regions: map[string]string{"ain": "casa", "sidi": "casa", "ikeja": "lagos"}}
	size := FleetSizeOf(member.View{}, l)
	for _, c := range []struct {
		name string
		d    *table.DirectView
		want string
	}{
		{"own region", view("sidi", "ikeja", "ikeja", "ikeja"), "sidi"},
		{"no other", view("ikeja"), "ikeja"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertShare(t, place(t, c.d.WithRoster(c.d.Roster, l), orders, size, placeStart, 50), c.want, 1, 1)
		})
	}
}

// Guards against an overloaded data centre next to idle ones: requests of this
// balancer and of the other one keep 1.8 of 2 slots busy.
func TestBusyDataCentreSpillsOver(t *testing.T) {
	d := view("ain", "sidi")
	now := observeAnswers(d, 1, 180*time.Millisecond, 100*time.Millisecond)
	size := FleetSize{DataCentres: 2, Balancers: 2}
	assertShare(t, place(t, d, orders, size, now, 400), "ain", 0.4, 0.6)
	t.Run("not when the others are slower", func(t *testing.T) {
		observeAnswers(d, 2, time.Second, 100*time.Millisecond)
		assertShare(t, place(t, d, orders, size, now, 400), "ain", 0.85, 1)
	})
	t.Run("not bulky requests", func(t *testing.T) {
		bulk := orders
		bulk.Bulk = true
		assertShare(t, place(t, d, bulk, size, now, 100), "ain", 1, 1)
	})
}

// Guards against an uneven distribution of flows: the busiest instance may have
// at most 1.10 times the mean.
func TestFlowsAreEven(t *testing.T) {
	for name, r := range map[string]model.Route{"feeds": feeds, "orders": orders} {
		t.Run(name, func(t *testing.T) {
			d := view("ain", "ain", "ain", "ain")
			place(t, d, r, FleetSize{DataCentres: 1, Balancers: 1}, placeStart, 100)
			for _, b := range d.Backends() {
				if n := b.State.RecentPlacements(); n != 25 {
					t.Errorf("instance %d has %d flows of 100, want 25", b.Instance.ID, n)
				}
			}
		})
	}
}

// Guards against a slow instance that gets as many flows as a fast one.
func TestSlowInstanceGetsFewerFlows(t *testing.T) {
	d := view("ain", "ain")
	observeAnswers(d, 1, 100*time.Millisecond, 200*time.Millisecond)
	now := observeAnswers(d, 2, 25*time.Millisecond, 200*time.Millisecond)
	place(t, d, orders, FleetSize{DataCentres: 1, Balancers: 1}, now, 100)
	slow, _ := d.Backend(1)
	if n := slow.State.RecentPlacements(); n < 15 || n > 25 {
		t.Errorf("an instance that takes four times as long has %d flows of 100, want about 20", n)
	}
}

// Guards against a new instance that gets every new flow until its count equals
// that of the others.
func TestNewInstanceStartsAtMean(t *testing.T) {
	d := view("ain", "ain")
	place(t, d, orders, FleetSize{DataCentres: 1, Balancers: 1}, placeStart, 100)
	added := model.InstanceChange{Instance: model.Instance{ID: 9, Name: "i-9", Service: "desk", DataCentre: "ain", Slots: 2, Endpoint: netip.MustParseAddrPort("10.0.0.9:8080")}}
	d = d.WithRoster(d.Roster.WithChanges(placeStart, []model.InstanceChange{added}, model.Position{Revision: 2}), table.Locality{DataCentre: "ain"})
	b, _ := d.Backend(9)
	if n := b.State.RecentPlacements(); n != 50 {
		t.Errorf("a new instance starts with %d placed flows, want the mean of 50", n)
	}
}

// reportFailures lets two other balancers report failures of instances.
func reportFailures(d *table.DirectView, now time.Time, ids ...uint64) {
	var h locks.Holder
	for _, id := range ids {
		b, _ := d.Backend(id)
		b.State.Observe(&h, now, health.FailedAtPeer{Peer: 1})
		b.State.Observe(&h, now, health.FailedAtPeer{Peer: 2})
	}
}

// Guards against new flows to an instance that several balancers have seen
// fail, and against findings that leave a service without instances.
func TestSharedBackoff(t *testing.T) {
	placed := func(t *testing.T, ids ...uint64) int {
		t.Helper()
		d := view("ain", "ain", "ain", "ain", "sidi")
		reportFailures(d, placeStart, ids...)
		place(t, d, orders, FleetSize{DataCentres: 1, Balancers: 1}, placeStart, 100)
		n := 0
		for _, id := range ids {
			b, _ := d.Backend(id)
			n += int(b.State.RecentPlacements())
		}
		return n
	}
	t.Run("half", func(t *testing.T) {
		if n := placed(t, 1, 2); n != 0 {
			t.Errorf("%d of 100 flows went to instances in shared backoff, want none", n)
		}
	})
	t.Run("more than half", func(t *testing.T) {
		if n := placed(t, 1, 2, 3); n == 0 {
			t.Error("no flow went to three of four instances in shared backoff, want the findings of other balancers ignored")
		}
	})
}

// Guards against an instance that was avoided for a while and then gets every
// new flow, since its count of recent placements has decayed.
func TestRecoveringInstance(t *testing.T) {
	d := view("ain", "ain", "ain", "ain")
	var h locks.Holder
	back, _ := d.Backend(1)
	for id := uint64(2); id <= 4; id++ {
		b, _ := d.Backend(id)
		for range 100 {
			b.State.CountPlacement()
		}
	}
	back.State.Observe(&h, placeStart, health.Failed{Incarnation: 1})
	now := placeStart.Add(1500 * time.Millisecond)
	place(t, d, orders, FleetSize{DataCentres: 1, Balancers: 1}, now, 100)
	if n := back.State.RecentPlacements(); n > 25 {
		t.Errorf("an instance that has just failed got %d of 100 flows, want at most its share of 25", n)
	}
}

// Guards against two instances whose tokens are equal: a packet must not reach
// the one that does not hold its flow.
func TestAmbiguousToken(t *testing.T) {
	first, second := collision()
	list := []model.InstanceChange{}
	for i, id := range []uint64{first, second} {
		list = append(list, model.InstanceChange{Instance: model.Instance{
			ID: id, Name: fmt.Sprint(id), Service: "desk", Slots: 2, Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}})
	}
	address := flowID(0).Address
	routing := model.Routing{Position: model.Position{Revision: 1}}.WithRoutes([]model.Route{{Address: address, Services: orders.Services}})
	d := (&table.DirectView{}).WithRouting(routing).WithRoster(roster.Roster{}.WithList(placeStart, list, model.Position{Revision: 1}), table.Locality{DataCentre: "ain"})
	s := &packet.Segment{Flow: flowID(0), Token: table.Token(first)}
	if got, ok := Resolve(placeStart, d, s, table.Track{}, false).(TargetUnknown); !ok || got.Reason != "token_ambiguous" {
		t.Errorf("an ambiguous token resolves to %+v", got)
	}
	t.Run("known from the flow's opening", func(t *testing.T) {
		got, ok := Resolve(placeStart, d, s, table.Track{}.WithOpen(second), true).(TargetBackend)
		if !ok || got.Backend.Instance.ID != second {
			t.Errorf("resolves to %+v, want instance %d", got, second)
		}
	})
}

// collision returns two IDs with the same token.
func collision() (uint64, uint64) {
	seen := make(map[uint32]uint64)
	for id := uint64(1); ; id++ {
		if other, ok := seen[table.Token(id)]; ok {
			return other, id
		}
		seen[table.Token(id)] = id
	}
}

// Guards against two store readers in one data centre while the members agree,
// against none, and against a small host that reads for larger ones.
func TestStoreReaders(t *testing.T) {
	at := netip.MustParseAddrPort("10.0.0.1:7000")
	v := member.NewView([]model.Balancer{
		{Name: "b1", DataCentre: "ain", Fetch: at},
		{Name: "b2", DataCentre: "ain", Fetch: at},
		{Name: "b3", DataCentre: "sidi", Fetch: at},
		{Name: "seed", DataCentre: "sidi"},
	})
	wantReaders := func(v member.View, dataCentre string, n int, first ...string) {
		t.Helper()
		var got []string
		for _, b := range StoreReaders(v, dataCentre) {
			got = append(got, b.Name)
		}
		if len(got) != n || !slices.Equal(got[:min(n, len(first))], first) {
			t.Errorf("readers of %s are %v, want %d, first %v", dataCentre, got, n, first)
		}
	}
	wantReaders(v, "sidi", 1, "b3")
	wantReaders(v, "ain", 2)
	v = v.With(model.Balancer{Name: "b4", DataCentre: "ain", Fetch: at, Capacity: 800}).
		With(model.Balancer{Name: "b5", DataCentre: "ain", Fetch: at, Capacity: 43})
	wantReaders(v, "ain", 4, "b4", "b5")
	wantReaders(v, "nowhere", 0)
}

// Guards against a starting balancer that asks itself, asks a seed that serves
// no news, or asks other data centres first, and against many balancers that
// ask the same one after a restart.
func TestNewsSources(t *testing.T) {
	at := netip.MustParseAddrPort("10.0.0.1:7000")
	all := []model.Balancer{{Name: "seed", DataCentre: "ain"}}
	for i := range 20 {
		all = append(all, model.Balancer{Name: fmt.Sprintf("ain-%d", i), DataCentre: "ain", Fetch: at},
			model.Balancer{Name: fmt.Sprintf("sidi-%d", i), DataCentre: "sidi", Fetch: at})
	}
	first := make(map[string]bool)
	for _, self := range all[1:] {
		got := NewsSources(member.NewView(all), self)
		if len(got) != 39 {
			t.Fatalf("%d others, want 39", len(got))
		}
		for i, b := range got {
			if b.Name == self.Name || i < 19 && b.DataCentre != self.DataCentre {
				t.Errorf("%s asks %s at place %d", self.Name, b.Name, i)
			}
		}
		first[got[0].Name] = true
	}
	if len(first) < 15 {
		t.Errorf("40 balancers ask only %d different ones first", len(first))
	}
}
