package feed

import (
	"context"
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/query"
	"egretdock/io/loop"
)

const (
	// peerStartDelay is how long a starting balancer waits for the store or its
	// reader before it asks other balancers. Both answer within 80 ms of a start on
	// the smallest hosts, and each request costs the caller processor time.
	peerStartDelay = 250 * time.Millisecond
	// peerSearchInterval is the interval at which it looks for more balancers to
	// ask, since membership finds them one by one.
	peerSearchInterval = 50 * time.Millisecond
	// peerStartTimeout bounds one request. A small host takes some hundred
	// milliseconds to send 3,000 instances, and several balancers may ask the same
	// one.
	peerStartTimeout = time.Second
)

// startFromPeers gets routes and instances from any live balancer when neither
// the store nor the reader has provided them. Otherwise a balancer that starts
// while the store doesn't answer would drop all packets.
func (f *Feed) startFromPeers(ctx context.Context) error {
	asked := make(map[string]bool)
	for loop.Sleep(ctx, peerStartDelay); ctx.Err() == nil && !f.hasRoutesAndInstances(); {
		b, ok := f.nextPeer(asked)
		if !ok {
			loop.Sleep(ctx, peerSearchInterval)
			continue
		}
		if f.startFromPeer(ctx, b) {
			return nil
		}
	}
	return nil
}

// hasRoutesAndInstances reports whether routes and instances are known.
func (f *Feed) hasRoutesAndInstances() bool {
	return f.Local.InForce().Complete()
}

// nextPeer returns a live balancer that isn't in asked and adds it. When all are
// in asked, it clears asked and returns false.
func (f *Feed) nextPeer(asked map[string]bool) (model.Balancer, bool) {
	for _, b := range f.Local.NewsSources() {
		if !asked[b.Name] {
			asked[b.Name] = true
			return b, true
		}
	}
	clear(asked)
	return model.Balancer{}, false
}

// startFromPeer asks one balancer for routes and instances and passes them on. It
// reports whether the balancer knew both.
func (f *Feed) startFromPeer(ctx context.Context, b model.Balancer) bool {
	n, err := f.waitNews(ctx, b, query.InForce{}, peerStartTimeout, 0)
	switch {
	case err != nil:
		f.LogEvent(effect.Event{Name: "start_peer_failed", Detail: "peer=" + b.Name + " err=" + err.Error()})
		return false
	case n.Routing.Position.IsZero() || n.ListPosition.IsZero():
		f.LogEvent(effect.Event{Name: "start_peer_failed", Detail: "peer=" + b.Name + " reason=knows_nothing"})
		return false
	}
	f.LogEvent(effect.Event{
		Name: "started_from_peer", Revision: n.Routing.Position.Revision, Era: n.Routing.Position.Era, Age: n.RoutingAge,
		ListRevision: n.ListPosition.Revision, ListEra: n.ListPosition.Era, ListAge: n.ListAge,
		Detail: "peer=" + b.Name,
	})
	f.pushNews(n)
	return true
}

// maxRoutesPeers is how many balancers a reader asks for later routes at most.
const maxRoutesPeers = 3

// learnLaterRoutes asks another balancer for later routes once this one knows that
// it is the reader. It has started from the store, which may have been restored
// from a copy that lacks them, and then nobody else would tell it.
func (f *Feed) learnLaterRoutes(ctx context.Context) error {
	select {
	case <-f.isReader:
	case <-ctx.Done():
		return nil
	}
	sources := f.Local.NewsSources()
	for _, b := range sources[:min(len(sources), maxRoutesPeers)] {
		if f.learnRoutesFrom(ctx, b) {
			return nil
		}
	}
	return nil
}

// learnRoutesFrom passes on the routes of a balancer if they are later. It reports
// whether the balancer answered.
func (f *Feed) learnRoutesFrom(ctx context.Context, b model.Balancer) bool {
	n, err := f.waitNews(ctx, b, f.Local.InForce(), peerStartTimeout, 0)
	if err != nil {
		f.LogEvent(effect.Event{Name: "news_failed", Detail: "source=" + b.Name + " err=" + err.Error()})
		return false
	}
	if !n.Routing.Position.IsZero() {
		f.Push(&input.RoutesConfirmed{Routing: n.Routing, Age: n.RoutingAge})
	}
	return true
}
