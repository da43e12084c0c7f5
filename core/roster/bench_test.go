package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/model"
)

// BenchmarkEntriesReturn measures a whole list that lapsed while the store was away
// and is written again entry by entry.
func BenchmarkEntriesReturn(b *testing.B) {
	for _, n := range []int{100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			list := make([]model.InstanceChange, 0, n)
			for i := range n {
				list = append(list, model.InstanceChange{Instance: model.Instance{
					ID: uint64(i + 1), Name: fmt.Sprintf("i-%x", i+1), Service: "desk", Slots: 2, Position: at(1),
					Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
				}})
			}
			lapsed := Roster{}.WithList(now, list, at(1)).WithList(now, nil, at(2))
			for i := range list {
				list[i].Instance.Position = at(3)
			}
			for b.Loop() {
				lapsed.WithChanges(now, list, at(3))
			}
		})
	}
}
