package feed

import (
	"context"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/platform"
)

// routes follows the configuration.
type routes struct{ f *Feed }

func (*routes) name() string { return "routes" }

func (r *routes) list(ctx context.Context, l platform.ListOptions) (uint64, error) {
	routing, at, err := r.f.Store.ReadRouting(ctx, l)
	if err != nil {
		return 0, err
	}
	r.f.Push(&input.RoutesConfirmed{Routing: routing})
	return at, nil
}

func (r *routes) watch(ctx context.Context, from uint64) (uint64, error) {
	routing, at, err := r.f.Store.WatchRouting(ctx, from, r.f.timing.watchWait)
	if err != nil {
		return 0, err
	}
	r.f.Push(&input.RoutesConfirmed{Routing: routing})
	return at, nil
}

func (r *routes) known() uint64 {
	routing, _ := r.f.Local.Revisions()
	return routing
}

// away needs no action: routes stay in force while the store does not answer.
func (*routes) away(bool) {}

// instances follows the list of instances.
type instances struct{ f *Feed }

func (*instances) name() string { return "instances" }

func (i *instances) list(ctx context.Context, l platform.ListOptions) (uint64, error) {
	e, err := i.f.Store.ListInstances(ctx, l)
	if err != nil {
		return 0, err
	}
	i.report(e)
	i.f.Push(&input.InstancesListed{Revision: e.Revision, Entries: e.Changes})
	return e.Revision, nil
}

func (i *instances) watch(ctx context.Context, from uint64) (uint64, error) {
	e, err := i.f.Store.WatchInstances(ctx, from, i.f.timing.watchWait)
	if err != nil {
		return 0, err
	}
	i.report(e)
	i.f.Push(&input.InstancesChanged{Revision: e.Revision, Changes: e.Changes})
	return e.Revision, nil
}

func (i *instances) known() uint64 {
	_, list := i.f.Local.Revisions()
	return list
}

func (i *instances) away(away bool) { i.f.Push(&input.StoreAvailability{Unavailable: away}) }

// report logs the entries that can't be read; they are not used.
func (i *instances) report(e platform.InstanceUpdate) {
	for _, err := range e.Unreadable {
		i.f.LogEvent(effect.Event{Name: "entry_unreadable", ListRevision: e.Revision, Detail: err.Error()})
	}
}
