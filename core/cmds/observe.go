package cmds

import (
	"time"

	"egretdock/core/admit"
	"egretdock/core/input"
	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/table"
)

// Incarnation records the incarnation that an upstream reports. A newer one
// starts from nothing; an older one is reported as false and must be ignored.
func Incarnation(h *locks.Holder, st *table.Upstream, n uint64) bool {
	st.Lock(h)
	defer st.Unlock(h)
	return newer(st, n)
}

func newer(st *table.Upstream, n uint64) bool {
	if n < st.Incarnation {
		return false
	}
	if n > st.Incarnation {
		if st.Incarnation != 0 {
			st.Admit = admit.Upstream{}
			st.Pending, st.Uploads = nil, 0
			st.DrainingSince = time.Time{}
			st.Unhealthy = false
		}
		st.Incarnation = n
	}
	return true
}

// Report records the answer of a health and load endpoint.
func Report(h *locks.Holder, now time.Time, st *table.Upstream, r *input.LoadReport) {
	st.Lock(h)
	defer st.Unlock(h)
	if !r.Healthy {
		st.Unhealthy = true
		return
	}
	if !newer(st, r.Incarnation) {
		return
	}
	st.Unhealthy = false
	st.Admit.SetSlots(r.Slots)
	if r.Draining {
		drain(st, now)
	}
}

// Configure puts a configuration in force. It reports false for a revision
// that is not newer than the one in force.
func Configure(h *locks.Holder, s *table.Set, cfg model.Config) bool {
	return s.UpdateView(h, func(prev *table.View) *table.View {
		if cfg.Revision <= prev.Config.Revision {
			return nil
		}
		return table.NextView(prev, cfg)
	})
}

// Remember caches the route of a flow without a token.
func Remember(h *locks.Holder, now time.Time, s *table.Set, k table.FlowKey, r packet.Route) bool {
	return s.Flows.Put(h, now, k, &r)
}
