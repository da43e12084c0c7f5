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

// roleEvery is the interval at which a reader looks whether it still is one.
const roleEvery = 500 * time.Millisecond

// Peers asks other balancers for news.
type Peers interface {
	WaitNews(ctx context.Context, addr netip.AddrPort, routing, list uint64, wait time.Duration) (query.News, error)
	CloseIdleConnections()
}

// Fleet is what the feed reads of its balancer.
type Fleet interface {
	// Reader returns the balancer that reads the store for this data centre.
	// self is true when it is this one.
	Reader() (b model.Balancer, self bool)
	// Others returns the other live balancers, in the order in which to ask them.
	Others() []model.Balancer
	// Revisions returns those of the routes and of the list in force.
	Revisions() (routing, list uint64)
}

// followPeers opens the gate to the store while this balancer is its data
// centre's reader or the reader's news are not current.
func (f *Feed) followPeers(ctx context.Context) error {
	rnd := rand.New(rand.NewPCG(f.Seed, 0))
	failed := 0
	for ctx.Err() == nil {
		reader, self := f.Fleet.Reader()
		if self {
			f.read(ctx, true, "role=reader")
			failed = 0
			loop.Sleep(ctx, roleEvery)
			continue
		}
		news, err := f.news(ctx, reader)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			failed++
			f.read(ctx, true, "reader="+reader.Name+" err="+err.Error())
			f.Peers.CloseIdleConnections()
			loop.Sleep(ctx, limit.Backoff(failed, retryFirst, retryMost, rnd))
		case news.StoreUnavailable || max(news.RoutingAge, news.ListAge) > f.timing.newsAge:
			failed = 0
			f.read(ctx, true, "reader="+reader.Name+" reason=news_not_current")
			f.push(news)
			loop.Sleep(ctx, roleEvery)
		default:
			failed = 0
			f.push(news)
			f.read(ctx, false, "reader="+reader.Name)
		}
	}
	return nil
}

func (f *Feed) news(ctx context.Context, reader model.Balancer) (query.News, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timing.newsLimit)
	defer cancel()
	routing, list := f.Fleet.Revisions()
	return f.Peers.WaitNews(ctx, reader.Fetch, routing, list, f.timing.newsWait)
}

// read opens or closes the gate and logs why.
func (f *Feed) read(ctx context.Context, open bool, why string) {
	if !f.gate.set(ctx, open) {
		return
	}
	name := "store_reading_stopped"
	if open {
		name = "store_reading_started"
	}
	f.Event(effect.Event{Name: name, Detail: why})
}

// push passes a peer's news on.
func (f *Feed) push(n query.News) {
	f.Push(&input.RoutesConfirmed{Routing: n.Routing, Age: n.RoutingAge})
	if n.FullList {
		f.Push(&input.InstancesListed{Revision: n.ListRevision, Entries: n.Entries, Age: n.ListAge})
		return
	}
	f.Push(&input.InstancesChanged{Revision: n.ListRevision, Changes: n.Entries, Age: n.ListAge})
}
