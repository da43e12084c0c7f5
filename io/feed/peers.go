package feed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/limit"
	"egretdock/core/model"
	"egretdock/core/query"
	"egretdock/io/loop"
)

// roleInterval is the interval at which a balancer that reads the store checks
// whether it still has to.
const roleInterval = 500 * time.Millisecond

// Peers is a client for the news of other balancers.
type Peers interface {
	// WaitNews returns the routes and instances that the balancer at addr has beyond
	// the given revisions. That balancer waits up to wait for some.
	WaitNews(ctx context.Context, addr netip.AddrPort, routing, list uint64, wait time.Duration) (query.News, error)
	// CloseIdleConnections makes the next call open a new connection.
	CloseIdleConnections()
}

// LocalState is the state of the balancer that the feed runs in.
type LocalState interface {
	// StoreReader returns the balancer that reads the store for this data centre.
	// self is true when it is this one.
	StoreReader() (b model.Balancer, self bool)
	// NewsSources returns the other live balancers in the order in which to ask them
	// for news.
	NewsSources() []model.Balancer
	// Revisions returns the revisions in force of the routes and of the list of
	// instances.
	Revisions() (routing, list uint64)
}

// followPeers passes on the news of the data centre's reader. It opens the gate
// to the store while this balancer is the reader, the reader doesn't answer, or
// its news are not current.
func (f *Feed) followPeers(ctx context.Context) error {
	rnd := rand.New(rand.NewPCG(f.Seed, 0))
	failures := 0
	for ctx.Err() == nil {
		reader, self := f.Local.StoreReader()
		if self {
			f.setReading(ctx, true, "role=reader")
			failures = 0
			loop.Sleep(ctx, roleInterval)
			continue
		}
		news, err := f.waitNews(ctx, reader)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			failures++
			f.setReading(ctx, true, "reader="+reader.Name+" err="+err.Error())
			f.Peers.CloseIdleConnections()
			loop.Sleep(ctx, limit.Backoff(failures, firstRetryDelay, maxRetryDelay, rnd))
		case news.StoreUnavailable || max(news.RoutingAge, news.ListAge) > f.timing.maxNewsAge:
			failures = 0
			f.setReading(ctx, true, "reader="+reader.Name+" reason=news_not_current")
			f.pushNews(news)
			loop.Sleep(ctx, roleInterval)
		default:
			failures = 0
			f.pushNews(news)
			f.setReading(ctx, false, "reader="+reader.Name)
		}
	}
	return nil
}

func (f *Feed) waitNews(ctx context.Context, reader model.Balancer) (query.News, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timing.newsTimeout)
	defer cancel()
	routing, list := f.Local.Revisions()
	return f.Peers.WaitNews(ctx, reader.Fetch, routing, list, f.timing.newsWait)
}

// setReading opens or closes the gate and logs the reason.
func (f *Feed) setReading(ctx context.Context, open bool, reason string) {
	if !f.gate.set(ctx, open) {
		return
	}
	name := "store_reading_stopped"
	if open {
		name = "store_reading_started"
	}
	f.LogEvent(effect.Event{Name: name, Detail: reason})
}

// pushNews passes a balancer's news on.
func (f *Feed) pushNews(n query.News) {
	f.Push(&input.RoutesConfirmed{Routing: n.Routing, Age: n.RoutingAge})
	if n.FullList {
		f.Push(&input.InstancesListed{Revision: n.ListRevision, Entries: n.Entries, Age: n.ListAge})
		return
	}
	f.Push(&input.InstancesChanged{Revision: n.ListRevision, Changes: n.Entries, Age: n.ListAge})
}
