package feed

import (
	"context"
	"time"

	"egretdock/core/effect"
	"egretdock/core/fault"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/platform"
)

// routeSource follows the configuration.
type routeSource struct{ f *Feed }

func (*routeSource) name() string { return "routes" }

func (r *routeSource) list(ctx context.Context, l platform.ListOptions) (model.Position, error) {
	start := time.Now()
	routing, at, err := r.f.Store.ReadRouting(ctx, l)
	return r.apply(start, routing, at, err)
}

func (r *routeSource) watch(ctx context.Context, from model.Position, wait time.Duration) (model.Position, error) {
	start := time.Now()
	routing, at, err := r.f.Store.WatchRouting(ctx, from, wait)
	return r.apply(start, routing, at, err)
}

// apply passes on the routes of a call that began at start, and returns the position to watch from. Malformed routes
// are logged once and those in force stay: the store has answered, and reading the
// same revision again would not help.
func (r *routeSource) apply(start time.Time, routing model.Routing, at model.Position, err error) (model.Position, error) {
	if fault.KindOf(err) == fault.KindInvalid {
		r.f.LogEvent(effect.Event{Name: "routes_refused", Revision: at.Revision, Era: at.Era, Detail: err.Error()})
		return at, nil
	}
	if err != nil {
		return model.Position{}, err
	}
	r.f.Push(&input.RoutesConfirmed{Routing: routing, Age: r.f.stalled(start)})
	return at, nil
}

func (r *routeSource) knownPosition() model.Position { return r.f.Local.InForce().Routing }

// setUnavailable does nothing: routes stay in force while the store doesn't
// answer.
func (*routeSource) setUnavailable(bool) {}

// instanceSource follows the list of instances.
type instanceSource struct{ f *Feed }

func (*instanceSource) name() string { return "instances" }

func (i *instanceSource) list(ctx context.Context, l platform.ListOptions) (model.Position, error) {
	start := time.Now()
	u, err := i.f.Store.ListInstances(ctx, l)
	if err != nil {
		return model.Position{}, err
	}
	i.logUnreadable(u)
	i.f.Push(&input.InstancesListed{Position: u.Position, Entries: u.Changes, Age: i.f.stalled(start)})
	return u.Position, nil
}

func (i *instanceSource) watch(ctx context.Context, from model.Position, wait time.Duration) (model.Position, error) {
	start := time.Now()
	u, err := i.f.Store.WatchInstances(ctx, from, wait)
	if err != nil {
		return model.Position{}, err
	}
	i.logUnreadable(u)
	i.f.Push(&input.InstancesChanged{Position: u.Position, Changes: u.Changes, Age: i.f.stalled(start)})
	return u.Position, nil
}

func (i *instanceSource) knownPosition() model.Position { return i.f.Local.InForce().List }

func (i *instanceSource) setUnavailable(unavailable bool) {
	i.f.Push(&input.StoreAvailability{Unavailable: unavailable})
}

// logUnreadable logs the entries that could not be decoded and so are not used.
func (i *instanceSource) logUnreadable(u platform.InstanceUpdate) {
	for _, err := range u.Unreadable {
		i.f.LogEvent(effect.Event{Name: "entry_unreadable", ListRevision: u.Position.Revision, ListEra: u.Position.Era, Detail: err.Error()})
	}
}
