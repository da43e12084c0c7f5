package relay

import (
	"fmt"
	"testing"

	"egretdock/core/rules"
)

// assertLogEnds fails unless the log ends at a revision.
func (s *site) assertLogEnds(rev uint64) {
	s.t.Helper()
	if t, err := s.log.Load(s.t.Context()); err != nil || t.Config.Revision != rev {
		s.t.Errorf("the log ends at revision %d, %v; want %d", t.Config.Revision, err, rev)
	}
}

// Guards against accepted edits that are lost, and whose revisions are given to
// later edits which balancers then ignore, when the platform is restored from a copy.
func TestEditsOfRestoredPlatform(t *testing.T) {
	s := newSite(t)
	b := s.start("b1", membership{}, nil)
	b.awaitEvent("relay_started")
	b.awaitRevision(s.edit(2))
	copied := s.plat.Copy()
	b.awaitRevision(s.edit(3))
	// The more versions are lost, the longer the watch misses changes.
	for i := range 50 {
		s.plat.Put(fmt.Sprint("hosts/h", i), nil)
	}
	s.edit(1)
	b.awaitRevision(6)
	b.clock.advance(renewInterval)
	b.clock.awaitTimer()
	s.plat.Restore(copied)
	b.clock.advance(renewInterval)
	b.awaitEvent("changes_rewritten")
	s.assertLogEnds(6)
	t.Run("the status is written again", func(t *testing.T) {
		b.clock.awaitTimer()
		if st, err := s.log.Statuses(t.Context()); err != nil || st["east"].Revision != 6 {
			t.Errorf("status of revision %d, %v; want 6", st["east"].Revision, err)
		}
	})
	t.Run("a later edit is in force", func(*testing.T) {
		rev := s.edit(1)
		b.clock.advance(renewInterval)
		b.awaitRevision(rev)
	})
	t.Run("a new balancer has all edits", func(*testing.T) {
		fresh := s.start("b2", membership{rank: 9}, nil)
		fresh.awaitRevision(7)
	})
}

// Guards against a lost edit that replaces one accepted under the same revision
// after the restore, and against one written above a gap, which nobody would read.
func TestRewriteKeepsLog(t *testing.T) {
	s := newSite(t)
	copied := s.plat.Copy()
	s.edit(3)
	var list []rules.Change
	for rev := uint64(1); rev <= 3; rev++ {
		c, err := s.log.Change(t.Context(), rev)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, c)
	}
	assertRewrites := func(t *testing.T, list []rules.Change, want int, fails bool) {
		t.Helper()
		n, err := s.client("relay").Rewrite(t.Context(), list)
		if n != want || (err != nil) != fails {
			t.Errorf("%d changes rewritten, error %v; want %d, failure %v", n, err, want, fails)
		}
	}
	t.Run("nothing lost", func(t *testing.T) { assertRewrites(t, list, 0, false) })
	s.plat.Restore(copied)
	t.Run("gap", func(t *testing.T) { assertRewrites(t, list[1:], 0, true) })
	t.Run("lost", func(t *testing.T) { assertRewrites(t, list, 3, false) })
	s.plat.Restore(copied)
	if _, err := s.client("other operator").Append(t.Context(), rules.Change{ID: "other", Body: template(9)}); err != nil {
		t.Fatal(err)
	}
	t.Run("revision taken", func(t *testing.T) { assertRewrites(t, list, 0, true) })
	s.assertLogEnds(1)
}
