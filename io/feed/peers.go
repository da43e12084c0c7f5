package feed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"egretdock/core/effect"
	"egretdock/core/follow"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/query"
	"egretdock/io/loop"
)

// Peers is a client for the news of other balancers.
type Peers interface {
	// WaitNews returns the routes and instances that the balancer at addr has beyond
	// those known. That balancer waits up to wait for some.
	WaitNews(ctx context.Context, addr netip.AddrPort, known query.InForce, wait time.Duration) (query.News, error)
	// CloseIdleConnections makes the next call open a new connection.
	CloseIdleConnections()
}

// LocalState is the state of the balancer that the feed runs in.
type LocalState interface {
	// StoreReaders returns the live balancers of this data centre in the order in
	// which they read the store, and the name of this one.
	StoreReaders() (readers []model.Balancer, self string)
	// NewsSources returns the other live balancers in the order in which to ask them
	// for news.
	NewsSources() []model.Balancer
	// InForce returns what is in force of the routes and of the list of instances.
	InForce() query.InForce
}

// followPeers passes on the news of other balancers and opens the gate to the
// store, as package follow decides.
func (f *Feed) followPeers(ctx context.Context) error {
	state := follow.New(f.timing.follow, time.Now())
	var once sync.Once
	for ctx.Err() == nil {
		readers, self := f.Local.StoreReaders()
		if len(readers) > 1 && readers[0].Name == self {
			once.Do(func() { close(f.isReader) })
		}
		state = state.WithStoreAnswer(f.contact.lastAnswer(), self)
		lost := f.contact.isLost()
		if lost {
			state = state.WithStoreFailure(time.Now())
		}
		switch step := state.Next(time.Now(), self, lost, readers).(type) {
		case follow.Pause:
			f.setReading(ctx, step.ReadStore, readingReason(readers, self))
			loop.Sleep(ctx, step.For)
		case follow.Ask:
			f.setReading(ctx, step.ReadStore, readingReason(readers, self))
			state = f.ask(ctx, state, step)
		}
	}
	return nil
}

// readingReason says why this balancer reads the store or not.
func readingReason(readers []model.Balancer, self string) string {
	if len(readers) == 0 || readers[0].Name == self {
		return "role=reader"
	}
	return "reader=" + readers[0].Name
}

// ask asks a balancer for its news and passes them on. It returns the state after
// the call.
func (f *Feed) ask(ctx context.Context, state follow.State, step follow.Ask) follow.State {
	news, err := f.waitNews(ctx, step.Source, f.Local.InForce(), f.timing.newsTimeout, f.timing.newsWait)
	now, source := time.Now(), step.Source.Name
	switch {
	case ctx.Err() != nil:
		return state
	case err != nil:
		f.LogEvent(effect.Event{Name: "news_failed", Detail: "source=" + source + " err=" + err.Error()})
		f.Peers.CloseIdleConnections()
		return state.WithoutAnswer(now, source)
	case news.ListPosition.Era < f.Local.InForce().List.Era:
		// The source has not seen that the store was restored. Its routes may still
		// be later than those of the copy.
		if !news.Routing.Position.IsZero() {
			f.Push(&input.RoutesConfirmed{Routing: news.Routing, Age: news.RoutingAge})
		}
		return state.WithOldNews(now, source)
	case news.StoreUnavailable || max(news.RoutingAge, news.ListAge) > f.timing.maxNewsAge:
		if news.StoreUnavailable && !step.ReadStore {
			// Without reading the store, this is how the balancer learns that
			// entries which vanish may have lapsed.
			f.Push(&input.StoreAvailability{Unavailable: true})
		}
		f.pushNews(news)
		return state.WithOldNews(now, source)
	}
	f.pushNews(news)
	if !step.ReadStore {
		// A balancer that reads the store in vain must go on saying so: the source
		// of its news would otherwise follow it in turn, and neither would read.
		f.Push(&input.StoreAvailability{})
	}
	return state.WithCurrentNews(now, source)
}

// waitNews asks a balancer for what is newer than what is known. News that
// waited while this process did not run are older than they say.
func (f *Feed) waitNews(ctx context.Context, b model.Balancer, known query.InForce, timeout, wait time.Duration) (query.News, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	n, err := f.Peers.WaitNews(ctx, b.Fetch, known, wait)
	stalled := f.stalled(start)
	n.RoutingAge, n.ListAge = n.RoutingAge+stalled, n.ListAge+stalled
	return n, err
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
		f.Push(&input.InstancesListed{Position: n.ListPosition, Entries: n.Entries, Age: n.ListAge})
		return
	}
	f.Push(&input.InstancesChanged{Position: n.ListPosition, Changes: n.Entries, Age: n.ListAge})
}
