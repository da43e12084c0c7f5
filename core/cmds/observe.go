package cmds

import (
	"net/netip"
	"time"

	"egretdock/core/admit"
	"egretdock/core/health"
	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/table"
)

// Observe records a signal of an upstream. It reports whether the signal reveals
// a new incarnation, whose state starts empty.
func Observe(h *locks.Holder, now time.Time, st *table.Upstream, sig health.Signal) bool {
	st.Lock(h)
	defer st.Unlock(h)
	return observe(st, now, sig)
}

func observe(st *table.Upstream, now time.Time, sig health.Signal) bool {
	previous := st.Health.Incarnation()
	st.ObserveLocked(now, sig)
	restarted := previous != 0 && st.Health.Incarnation() != previous
	if restarted {
		st.Admit = admit.NewUpstream(now)
		st.Pending, st.Uploads = nil, 0
	}
	if n := st.Health.Slots(); n > 0 {
		st.Admit.SetSlots(n)
	}
	return restarted
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

// EnsureEndpoint adds the endpoint named by an authentic route unless it is
// known, and reports whether it is known afterwards.
func EnsureEndpoint(h *locks.Holder, s *table.Set, ep netip.AddrPort, service string) bool {
	s.UpdateView(h, func(v *table.View) *table.View { return v.WithRemoved(ep, service) })
	_, ok := s.View().Endpoint(ep)
	return ok
}

// CacheRoute caches the route of a flow without a token.
func CacheRoute(h *locks.Holder, now time.Time, s *table.Set, k table.FlowKey, r packet.Route) bool {
	return s.Flows.Put(h, now, k, &r)
}

// DropCachedRoute removes the cached route of a flow that the upstream at an
// endpoint has reset.
func DropCachedRoute(h *locks.Holder, s *table.Set, k table.FlowKey, endpoint netip.AddrPort) {
	s.Flows.Remove(h, k, endpoint)
}
