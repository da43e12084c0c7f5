package fleet

import (
	"context"
	"maps"
	"net/netip"
	"slices"

	"egretdock/core/model"
	"egretdock/io/daemon"
	"egretdock/io/emul/upstr"
)

// Entry returns the client-facing addresses of the live balancers.
func (f *Fleet) Entry() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range f.list() {
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

// Config returns the configuration that was put in force last.
func (f *Fleet) Config() model.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg
}

// Control returns the bytes of membership messages, in both directions and
// without UDP and IP headers, of each live balancer that counts them.
func (f *Fleet) Control() map[string]int64 {
	out := make(map[string]int64)
	for _, b := range f.list() {
		if d, ok := b.Process.(*daemon.Daemon); ok {
			out[b.Self().Name] = d.Counters.GossipBytes.Load()
		}
	}
	return out
}

// Upstream returns a running stand-in, or nil.
func (f *Fleet) Upstream(name string) *upstr.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[name]
}

// AwaitRevision waits until all live balancers have the revision in force.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) error {
	for {
		f.mu.Lock()
		changed, ready := f.changed, true
		for _, b := range f.balancers {
			ready = ready && b.Revision() >= revision
		}
		f.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Fleet) list() []*balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*balancer, 0, len(f.balancers))
	for _, name := range slices.Sorted(maps.Keys(f.balancers)) {
		out = append(out, f.balancers[name])
	}
	return out
}
