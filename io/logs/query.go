package logs

import (
	"fmt"
	"slices"

	"egretdock/core/clock"
	"egretdock/core/effect"
)

// After returns the records later than at, in order. When some of them have
// been overwritten, the first record is an events_overwritten event that marks
// the gap.
func (g *Ring) After(at clock.Stamp) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := slices.Concat(g.records[g.next:], g.records[:g.next])
	from, _ := slices.BinarySearchFunc(all, at, func(r Record, at clock.Stamp) int {
		if r.At.Compare(at) <= 0 {
			return -1
		}
		return 1
	})
	all = all[from:]
	if g.overwritten == 0 || g.lastOverwritten.At.Compare(at) <= 0 {
		return all
	}
	gap := g.lastOverwritten.WithEvent(effect.Event{
		Name:   EventOverwritten,
		Detail: fmt.Sprintf("%d events up to here are no longer in memory", g.overwritten),
	})
	return slices.Insert(all, 0, gap)
}
