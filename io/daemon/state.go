package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/member"
	"egretdock/core/query"
	"egretdock/core/rank"
	"egretdock/core/table"
	"egretdock/io/admin"
)

// LastTick implements admin.State.
func (d *Daemon) LastTick() time.Time { return time.Unix(0, d.engine.Tables.LastTick.Load()) }

// Sees reports whether the balancer may act as an owner and sees exactly n live
// balancers, itself included.
func (d *Daemon) Sees(n int) bool {
	return d.engine.Tables.Settled() && d.engine.Tables.Members().Len() == n
}

// Status implements admin.State.
func (d *Daemon) Status() admin.Status {
	t := &d.engine.Tables
	s := admin.Status{
		Name:        d.engine.Self.Name,
		DataCentre:  d.engine.Self.DataCentre,
		Incarnation: d.engine.Self.Incarnation,
		Revision:    d.Revision(),
		Settled:     t.Settled(),
		Leaving:     t.Leaving.Load(),
	}
	var h locks.Holder
	t.ReadMembers(&h, func(m *member.State) { s.Incarnation = m.Self().Incarnation })
	for _, b := range t.Members().Balancers() {
		s.Members = append(s.Members, admin.Member{Name: b.Name, DataCentre: b.DataCentre, Incarnation: b.Incarnation, Status: member.StatusAlive.String()})
	}
	for _, b := range t.Members().Leaving() {
		s.Members = append(s.Members, admin.Member{Name: b.Name, DataCentre: b.DataCentre, Incarnation: b.Incarnation, Status: member.StatusLeaving.String()})
	}
	now := time.Now()
	for _, pl := range t.Ownership().Owned {
		s.Upstreams = append(s.Upstreams, upstreamStatus(&h, now, pl))
	}
	slices.SortFunc(s.Upstreams, func(a, b admin.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func upstreamStatus(h *locks.Holder, now time.Time, pl *table.EndpointEntry) admin.Upstream {
	pl.State.Lock(h)
	defer pl.State.Unlock(h)
	load := pl.State.Admit.Load()
	return admin.Upstream{
		Name: pl.Upstream.Name, DataCentre: pl.Upstream.DataCentre,
		Incarnation: pl.State.Health.Incarnation(),
		Healthy:     !pl.State.Health.Ejected(now),
		Draining:    pl.State.Health.Draining(),
		Running:     load.InFlight, Queued: load.Queued, Limit: load.Limit,
	}
}

// Acked implements relay.Membership.
func (d *Daemon) Acked() map[string]uint64 {
	return query.AckedRevisions(&d.engine.Tables, d.engine.Self.DataCentre)
}

// Rank implements relay.Membership: the place of this balancer among those of its
// data centre in the order of the hashes of their names.
func (d *Daemon) Rank() int {
	names := rank.SortedByHash(slices.Collect(maps.Keys(d.Acked())))
	return max(0, slices.Index(names, d.engine.Self.Name))
}

// leaveCheck is the interval at which a leaving balancer looks whether its
// work has ended.
const leaveCheck = 100 * time.Millisecond

// Leave announces that the balancer stops, and waits until no work of its
// upstreams is pending or limit has passed.
func (d *Daemon) Leave(limit time.Duration) {
	d.queue.Push(&input.Leave{})
	t := time.NewTicker(leaveCheck)
	defer t.Stop()
	end := time.Now().Add(limit)
	// Relays that are on their way arrive within the time that news of the
	// leave takes to spread.
	quiet := time.Now().Add(leaveQuiet)
	for now := range t.C {
		if now.After(end) || now.After(quiet) && !d.busy() {
			return
		}
	}
}

// leaveQuiet is the least time between the announcement and the exit. Probes go
// out twice a second, so that the news reaches a data centre of 70 in about 3 s;
// the lease of the relay is given up within the same time.
const leaveQuiet = 4 * time.Second

func (d *Daemon) busy() bool {
	o := d.engine.Tables.Ownership()
	for _, list := range [][]*table.EndpointEntry{o.Owned, o.Others} {
		for _, pl := range list {
			if pl.State.HasPending() {
				return true
			}
		}
	}
	return false
}
