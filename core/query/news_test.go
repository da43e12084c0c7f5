package query

import (
	"testing"
	"time"

	"egretdock/core/model"
	"egretdock/core/roster"
	"egretdock/core/table"
)

// viewAt returns a view with one instance and routes of a version, both at a
// position.
func viewAt(version uint64, p model.Position) *table.DirectView {
	list := []model.InstanceChange{{Instance: model.Instance{ID: 1, Name: "i-1", Service: "desk", Slots: 2, Position: p}}}
	d := (&table.DirectView{}).WithRoster(roster.Roster{}.WithList(placeStart, list, p), table.Locality{})
	return d.WithRouting(model.Routing{Version: version, Position: p})
}

func assertNews(t *testing.T, n News, version uint64, fullList bool) {
	t.Helper()
	if n.Routing.Version != version || n.FullList != fullList {
		t.Errorf("news with routes of version %d (0 is none) and the full list %v, want version %d and %v", n.Routing.Version, n.FullList, version, fullList)
	}
}

// Guards against peers that keep routes or instances of before the store was
// restored, because the revisions of the restored store are lower or the same.
func TestNewsAfterRestore(t *testing.T) {
	before, restored := model.Position{Era: 1, Revision: 23}, model.Position{Era: 2, Revision: 23}
	follower := InForceOf(viewAt(13, before))
	news := func(version uint64, p model.Position) News {
		return NewsAfter(viewAt(version, p), follower, placeStart.Add(time.Second))
	}
	t.Run("reissued revision", func(t *testing.T) { assertNews(t, news(16, restored), 16, true) })
	t.Run("lower revision", func(t *testing.T) { assertNews(t, news(16, model.Position{Era: 2, Revision: 4}), 16, true) })
	t.Run("routes of the copy are older", func(t *testing.T) { assertNews(t, news(10, restored), 0, true) })
	t.Run("nothing restored", func(t *testing.T) { assertNews(t, news(13, before), 0, false) })
	t.Run("the follower knows more", func(t *testing.T) {
		assertNews(t, NewsAfter(viewAt(13, before), InForceOf(viewAt(16, restored)), placeStart), 0, false)
	})
	t.Run("the follower started from an older copy", func(t *testing.T) {
		assertNews(t, NewsAfter(viewAt(13, before), InForceOf(viewAt(10, restored)), placeStart), 13, false)
	})
}
