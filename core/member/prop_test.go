package member_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"egretdock/core/member"
	"egretdock/core/model"
)

// Guards against views that stay different because updates arrived in another
// order, and against digests that differ for equal views.
func TestUpdateOrder(t *testing.T) {
	from := balancer(0, 2)
	update := rapid.Custom(func(t *rapid.T) member.Update {
		b := balancer(rapid.IntRange(1, 4).Draw(t, "balancer"), 2)
		return member.Update{
			Balancer: b.WithIncarnation(rapid.Uint64Range(1, 4).Draw(t, "incarnation")),
			Status:   rapid.SampledFrom([]member.Status{member.StatusAlive, member.StatusSuspect, member.StatusLeaving, member.StatusDead}).Draw(t, "status"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(update, 1, 12).Draw(t, "updates")
		receive := func(us []member.Update) (*member.State, uint64) {
			s := member.New(balancer(9, 2), member.Config{})
			f := &fleet{}
			for _, u := range us {
				s.Receive(f.now, &member.Page{Header: member.Header{From: from, Updates: []member.Update{u}}}, nil)
			}
			ack := s.Receive(f.now, &member.Ping{Header: member.Header{From: from}}, nil)[0].Message.(*member.Ack)
			return s, ack.Digest
		}
		a, digestA := receive(updates)
		b, digestB := receive(rapid.Permutation(updates).Draw(t, "order"))
		reachable := func(s *member.State) []model.Balancer { return append(s.View().Balancers(), s.View().Leaving()...) }
		if diff := cmp.Diff(reachable(a), reachable(b), cmp.Comparer(func(a, b model.Balancer) bool { return a == b })); diff != "" {
			t.Fatalf("views differ:\n%s", diff)
		}
		if digestA != digestB {
			t.Fatalf("digests differ: %x and %x", digestA, digestB)
		}
	})
}
