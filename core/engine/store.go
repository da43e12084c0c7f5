package engine

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"egretdock/core/cmds"
	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/roster"
	"egretdock/core/table"
)

func (e *Engine) confirmRoutes(w *WorkerState, now time.Time, in *input.RoutesConfirmed) {
	if !cmds.ApplyRouting(&w.locks, now, &e.Tables, in, e.Direct.FlowLifetime) {
		reportKeptRoutes(w, e.Tables.Direct().Routing, in.Routing)
		return
	}
	w.Out.Add(&effect.Event{
		Name: "routes_in_force", Revision: in.Routing.Position.Revision, Era: in.Routing.Position.Era,
		Detail: "version=" + strconv.FormatUint(in.Routing.Version, 10) + " routes=" + strconv.Itoa(in.Routing.Len()),
	})
}

// reportKeptRoutes reports that the routes in force stay although other ones
// arrived.
func reportKeptRoutes(w *WorkerState, kept, offered model.Routing) {
	if offered.Position.IsZero() || offered.Position == kept.Position && offered.Version == kept.Version {
		return
	}
	w.Out.Add(&effect.Event{
		Name: "routes_kept", Revision: kept.Position.Revision, Era: kept.Position.Era,
		Detail: "version=" + strconv.FormatUint(kept.Version, 10) +
			" offered_version=" + strconv.FormatUint(offered.Version, 10) + " offered=" + offered.Position.String(),
	})
}

func (e *Engine) replaceInstances(w *WorkerState, now time.Time, in *input.InstancesListed) {
	e.updateRoster(w, func(r roster.Roster) (roster.Roster, bool) {
		return r.WithList(now, in.Entries, in.Position), true
	})
	cmds.ConfirmRoster(&w.locks, now.Add(-in.Age), &e.Tables, in.Position)
}

func (e *Engine) changeInstances(w *WorkerState, now time.Time, in *input.InstancesChanged) {
	if len(in.Changes) > 0 {
		e.updateRoster(w, func(r roster.Roster) (roster.Roster, bool) {
			return r.WithChanges(now, in.Changes, in.Position), true
		})
	}
	cmds.ConfirmRoster(&w.locks, now.Add(-in.Age), &e.Tables, in.Position)
}

func (e *Engine) setStoreAvailability(w *WorkerState, now time.Time, in *input.StoreAvailability) {
	e.updateRoster(w, func(r roster.Roster) (roster.Roster, bool) {
		return r.WithStoreUnavailable(now, in.Unavailable), r.StoreUnavailable != in.Unavailable
	})
}

// updateRoster replaces the roster by the result of fn. It reports the first list
// in one event, and later a restore of the store and each instance that is new, has
// restarted or has another status. A line for each instance of the first list would
// take a small host tens of milliseconds before the first packet.
func (e *Engine) updateRoster(w *WorkerState, fn func(roster.Roster) (roster.Roster, bool)) {
	before := e.Tables.Direct()
	if !cmds.UpdateRoster(&w.locks, &e.Tables, e.Direct.Locality, fn) {
		return
	}
	after := e.Tables.Direct()
	if before.Roster.Position.IsZero() {
		reportFirstList(w, after)
		return
	}
	if from, to := before.Roster.Position, after.Roster.Position; from.Era != to.Era {
		w.Out.Add(&effect.Event{Name: "store_restored", ListRevision: to.Revision, ListEra: to.Era, Detail: "before=" + from.String()})
	}
	for id, b := range after.Backends() {
		old, known := before.Backend(id)
		if known && old.Status == b.Status && old.Instance.StartMillis == b.Instance.StartMillis {
			continue
		}
		from := "unknown"
		if known {
			from = old.Status.String()
		}
		w.Out.Add(&effect.Event{
			Name: "instance_" + b.Status.String(), Upstream: b.Instance.Name, Service: b.Instance.Service,
			ListRevision: after.Roster.Position.Revision, ListEra: after.Roster.Position.Era,
			Detail: "before=" + from + " endpoint=" + b.Instance.Endpoint.String() + " data_centre=" + b.Instance.DataCentre,
		})
	}
}

// reportFirstList reports how many instances of each status the first list has.
func reportFirstList(w *WorkerState, d *table.DirectView) {
	if d.Roster.Position.IsZero() {
		return
	}
	counts := make(map[roster.Status]int)
	for _, b := range d.Backends() {
		counts[b.Status]++
	}
	detail := make([]string, 0, len(counts))
	for _, s := range slices.Sorted(maps.Keys(counts)) {
		detail = append(detail, s.String()+"="+strconv.Itoa(counts[s]))
	}
	w.Out.Add(&effect.Event{Name: "instances_listed", ListRevision: d.Roster.Position.Revision, ListEra: d.Roster.Position.Era, Detail: strings.Join(detail, " ")})
}
