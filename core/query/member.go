package query

import (
	"egretdock/core/locks"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/table"
)

// Owner returns the balancer that must admit work for an upstream. While this
// balancer is not settled, packets from clients go to the next owner in hash
// order, if there is one. Packets relayed by peers are accepted, since the
// peers consider it the owner.
func Owner(s *table.Set, u model.Upstream, self string, relayed bool) (model.Balancer, bool) {
	m := s.Members()
	b, ok := m.Owner(u)
	if ok && b.Name == self && !relayed && !s.Settled() && m.Len() > 1 {
		return m.Without(self).Owner(u)
	}
	return b, ok
}

// AckedRevisions returns the configuration revision in force at each live
// balancer of a data centre, as known from gossip.
func AckedRevisions(s *table.Set, dataCentre string) map[string]uint64 {
	out := make(map[string]uint64)
	var h locks.Holder
	s.ReadMembers(&h, func(st *member.State) {
		for _, a := range st.Revisions(dataCentre) {
			if a.Live {
				out[a.Balancer.Name] = a.Revision
			}
		}
	})
	return out
}

// SplitOwnership splits the endpoints of a view by whether the named balancer
// owns their upstream.
func SplitOwnership(v *table.View, members member.View, self string) *table.Ownership {
	o := &table.Ownership{}
	for _, e := range v.Endpoints() {
		if b, ok := members.Owner(e.Upstream); ok && b.Name == self {
			o.Owned = append(o.Owned, e)
		} else {
			o.Others = append(o.Others, e)
		}
	}
	return o
}
