package fleet

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"egretdock/core/model"
	"egretdock/io/daemon"
	"egretdock/io/emul/upstr"
)

// ClientAddrs returns the client-facing addresses of the live balancers.
func (f *Fleet) ClientAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range f.live() {
		out = append(out, b.ClientAddr())
	}
	return out
}

// Balancers returns the names of the live balancers in order.
func (f *Fleet) Balancers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.balancers))
}

// Config returns the newest configuration that was accepted.
func (f *Fleet) Config() model.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg
}

// GossipBytes returns the bytes of membership messages, in both directions and
// without UDP and IP headers, of each live balancer that counts them.
func (f *Fleet) GossipBytes() map[string]int64 {
	out := make(map[string]int64)
	for _, b := range f.live() {
		if d, ok := b.Process.(interface{ Daemon() *daemon.Daemon }); ok {
			out[b.Self().Name] = d.Daemon().Counters.GossipBytes.Load()
		}
	}
	return out
}

// PlatformCalls returns the number of calls that the platform served. A pending
// watch counts as one.
func (f *Fleet) PlatformCalls() int {
	if f.platform == nil {
		return 0
	}
	n := 0
	for _, calls := range f.platform.server.Calls() {
		n += calls
	}
	return n
}

// Upstream returns the named upstream, or nil.
func (f *Fleet) Upstream(name string) *upstr.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[name]
}

// AwaitRevision waits until all live balancers have the revision in force.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) error {
	return f.await(ctx, func(bs []*balancer) bool {
		return !slices.ContainsFunc(bs, func(b *balancer) bool { return b.Revision() < revision })
	})
}

// AwaitMembers waits until all live balancers see each other.
func (f *Fleet) AwaitMembers(ctx context.Context) error {
	return f.await(ctx, func(bs []*balancer) bool {
		return !slices.ContainsFunc(bs, func(b *balancer) bool {
			d, ok := b.Process.(interface{ Daemon() *daemon.Daemon })
			return ok && !d.Daemon().IsSettledWith(len(bs))
		})
	})
}

// pollInterval is how often await rechecks conditions that no event reports,
// such as a settled membership.
const pollInterval = 50 * time.Millisecond

// await waits until ready reports true. It rechecks after each event that can
// change the result, and once per pollInterval.
func (f *Fleet) await(ctx context.Context, ready func([]*balancer) bool) error {
	for {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		if ready(f.live()) {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// live returns the live balancers in order of name.
func (f *Fleet) live() []*balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*balancer, 0, len(f.balancers))
	for _, name := range slices.Sorted(maps.Keys(f.balancers)) {
		out = append(out, f.balancers[name])
	}
	return out
}
