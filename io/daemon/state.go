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

// IsSettledWith reports whether membership is settled, so that the balancer may
// act as an owner, and has exactly n live balancers including this one.
func (d *Daemon) IsSettledWith(n int) bool {
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
	slices.SortFunc(s.Members, func(a, b admin.Member) int { return cmp.Compare(a.Name, b.Name) })
	now := time.Now()
	for _, entry := range t.Ownership().Owned {
		s.Upstreams = append(s.Upstreams, upstreamStatus(&h, now, entry))
	}
	slices.SortFunc(s.Upstreams, func(a, b admin.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func upstreamStatus(h *locks.Holder, now time.Time, entry *table.EndpointEntry) admin.Upstream {
	entry.State.Lock(h)
	defer entry.State.Unlock(h)
	load := entry.State.Admit.Load()
	return admin.Upstream{
		Name: entry.Upstream.Name, DataCentre: entry.Upstream.DataCentre,
		Incarnation: entry.State.Health.Incarnation(),
		Healthy:     !entry.State.Health.Ejected(now),
		Draining:    entry.State.Health.Draining(),
		Running:     load.InFlight, Queued: load.Queued, Limit: load.Limit,
	}
}

// Acked implements relay.Membership.
func (d *Daemon) Acked() map[string]uint64 {
	return query.AckedRevisions(&d.engine.Tables, d.engine.Self.DataCentre)
}

// Rank implements relay.Membership: the index of this balancer among those of
// its data centre, ordered by the hashes of their names.
func (d *Daemon) Rank() int {
	names := rank.SortedByHash(slices.Collect(maps.Keys(d.Acked())))
	return max(0, slices.Index(names, d.engine.Self.Name))
}

// leaveCheckInterval is the interval at which a leaving balancer checks for
// pending work.
const leaveCheckInterval = 100 * time.Millisecond

// Leave announces the graceful exit and waits until no work of its upstreams is
// pending, for at least minLeaveTime and at most limit.
func (d *Daemon) Leave(limit time.Duration) {
	d.queue.Push(&input.Leave{})
	t := time.NewTicker(leaveCheckInterval)
	defer t.Stop()
	deadline := time.Now().Add(limit)
	// Relayed packets in flight arrive within the time that the announcement
	// takes to spread.
	earliest := time.Now().Add(minLeaveTime)
	for now := range t.C {
		if now.After(deadline) || now.After(earliest) && !d.hasPendingWork() {
			return
		}
	}
}

// minLeaveTime is the least time between the announcement and the exit. With
// two probes a second, the announcement reaches all balancers of a data centre
// of 70 in about 3 s; the relay lease is released within the same time.
const minLeaveTime = 4 * time.Second

func (d *Daemon) hasPendingWork() bool {
	o := d.engine.Tables.Ownership()
	for _, list := range [][]*table.EndpointEntry{o.Owned, o.Others} {
		for _, entry := range list {
			if entry.State.HasPending() {
				return true
			}
		}
	}
	return false
}
