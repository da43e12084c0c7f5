package feed

import (
	"context"
	"time"

	"egretdock/core/effect"
	"egretdock/core/model"
	"egretdock/io/loop"
)

const (
	// startAlone is how long a starting balancer waits for the store or its
	// reader before it asks others: both answer within 80 ms of a start on the
	// smallest hosts, and each question costs the asker processor time.
	startAlone = 250 * time.Millisecond
	// startEvery is the interval at which it looks for other balancers, which
	// membership finds one after the other.
	startEvery = 50 * time.Millisecond
	// startTimeout bounds one question. Small hosts take some hundred milliseconds
	// to hand out 3,000 instances, and several may ask the same one.
	startTimeout = time.Second
)

// start learns routes and instances from any live balancer when neither the
// store nor the reader has told them. Without it a balancer that starts while
// the store is away drops all packets.
func (f *Feed) start(ctx context.Context) error {
	asked := make(map[string]bool)
	for loop.Sleep(ctx, startAlone); ctx.Err() == nil && !f.started(); {
		b, ok := f.unasked(asked)
		if !ok {
			loop.Sleep(ctx, startEvery)
			continue
		}
		if f.startFrom(ctx, b) {
			return nil
		}
	}
	return nil
}

// started reports whether routes and instances are known.
func (f *Feed) started() bool {
	routing, list := f.Local.Revisions()
	return routing > 0 && list > 0
}

// unasked returns a live balancer that was not asked yet. When all were, they
// may be asked again.
func (f *Feed) unasked(asked map[string]bool) (model.Balancer, bool) {
	for _, b := range f.Local.NewsSources() {
		if !asked[b.Name] {
			asked[b.Name] = true
			return b, true
		}
	}
	clear(asked)
	return model.Balancer{}, false
}

// startFrom reports whether a balancer knows routes and instances, and passes
// them on.
func (f *Feed) startFrom(ctx context.Context, b model.Balancer) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	n, err := f.Peers.WaitNews(ctx, b.Fetch, 0, 0, 0)
	switch {
	case err != nil:
		f.LogEvent(effect.Event{Name: "start_peer_failed", Detail: "peer=" + b.Name + " err=" + err.Error()})
		return false
	case n.Routing.Revision == 0 || n.List == 0:
		f.LogEvent(effect.Event{Name: "start_peer_failed", Detail: "peer=" + b.Name + " reason=knows_nothing"})
		return false
	}
	f.LogEvent(effect.Event{
		Name: "started_from_peer", Revision: n.Routing.Revision, Age: n.RoutingAge, ListRevision: n.List, ListAge: n.ListAge,
		Detail: "peer=" + b.Name,
	})
	f.push(n)
	return true
}
