package feed

import (
	"fmt"
	"testing"

	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/query"
	"egretdock/io/emul/objs"
)

// listedInEra accepts a list of an era that has n entries.
func listedInEra(era uint64, n int) func(*input.InstancesListed) bool {
	return func(in *input.InstancesListed) bool { return in.Position.Era == era && len(in.Entries) == n }
}

// setInForce sets what the balancer of the feed has in force.
func (fx *fixture) setInForce(i query.InForce) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.inForce = i
}

// Guards against a reader that misses what was written to a restored store under
// revisions that it knows, in one restore and in two.
func TestReaderOfRestoredStore(t *testing.T) {
	for name, writes := range map[string]int{"few writes": 1, "many writes": 9} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, true)
			fx.waitFirstLists()
			before := fx.store.Copy()
			for i := range 4 {
				fx.putInstance(fmt.Sprintf("i-%x", i+1), "ready")
			}
			waitFor(fx, "the changes before the restore", func(in *input.InstancesChanged) bool { return in.Position.Revision == 5 })
			for era := uint64(2); era <= 3; era++ {
				fx.store.SetFault(objs.FaultBusy)
				fx.waitEvent("store_lost")
				fx.store.Restore(before)
				for i := range writes {
					fx.putInstance(fmt.Sprintf("i-%x%02x", era, i), "ready")
				}
				fx.store.SetFault(objs.FaultNone)
				waitFor(fx, "the restored list", listedInEra(era, writes))
				fx.waitEvent("store_regained")
			}
		})
	}
}

// Guards against routes that a balancer misses because it watches on, from a
// revision that it knew before the store was restored, when it becomes the reader.
func TestReadingResumesAfterRestore(t *testing.T) {
	store := &objs.Store{}
	before := store.Copy()
	store.Put("config", "main", map[string]any{"version": 7})
	store.Restore(before)
	store.Put("config", "main", map[string]any{"version": 8})
	fx := newFixtureWithStore(t, store, false)
	known := model.Position{Era: 1, Revision: 2}
	fx.setInForce(query.InForce{Version: 7, Routing: known, List: known})
	waitFor(fx, "the routes of the restored store", atVersion(8))
}

// Guards against a balancer that follows a peer which has not seen yet that the
// store was restored.
func TestNewsOfFormerEra(t *testing.T) {
	store := &objs.Store{}
	store.Restore(store.Copy())
	fx := newFixtureWithStore(t, store, false, func(fx *fixture, _ *Feed) {
		// A feed that asks before its peer has news reads the store first.
		fx.putInstance("i-1", "ready")
		fx.setInForce(query.InForce{Version: 3, Routing: at(5), List: model.Position{Era: 2, Revision: 1}})
		fx.setNews(&query.News{Routing: model.Routing{Position: at(6), Version: 4}, ListPosition: at(90), FullList: true})
	})
	waitFor(fx, "the later routes of the peer", atVersion(4))
	waitFor(fx, "the changes in the store", func(in input.Input) bool {
		if l, ok := in.(*input.InstancesListed); ok {
			t.Errorf("a list at %s was passed on, want only changes in the store", l.Position)
		}
		c, ok := in.(*input.InstancesChanged)
		return ok && c.Position.Era == 2 && len(c.Changes) == 1
	})
}

// Guards against a reader that starts from a restored store and serves routes that
// the other balancers have replaced, until the operator's last ones are written
// again.
func TestReaderLearnsLaterRoutes(t *testing.T) {
	store := &objs.Store{}
	store.Put("config", "main", map[string]any{"version": 7})
	store.Restore(store.Copy())
	fx := newFixtureWithStore(t, store, true)
	known := model.Position{Era: 2, Revision: 2}
	fx.setInForce(query.InForce{Version: 7, Routing: known, List: known})
	fx.setNews(&query.News{Routing: model.Routing{Position: at(5), Version: 8}, ListPosition: at(90)})
	fx.mu.Lock()
	fx.later, fx.others = []model.Balancer{{Name: "next"}}, []model.Balancer{{Name: "next"}}
	fx.mu.Unlock()
	waitFor(fx, "the routes of the other balancer", atVersion(8))
}
