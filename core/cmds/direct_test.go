package cmds

import (
	"net/netip"
	"testing"
	"time"

	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/roster"
	"egretdock/core/table"
)

var listedAt = time.Unix(1e9, 0)

// withInstance lists instance 1, started at startMillis, and returns its backend.
func withInstance(s *table.Set, h *locks.Holder, startMillis, revision uint64) *table.Backend {
	in := model.Instance{ID: 1, Name: "i-1", Service: "desk", Slots: 2, StartMillis: startMillis, Position: model.Position{Revision: revision}, Endpoint: netip.MustParseAddrPort("10.0.0.1:80")}
	UpdateRoster(h, s, table.Locality{}, func(r roster.Roster) (roster.Roster, bool) {
		return r.WithList(listedAt, []model.InstanceChange{{Instance: in}}, in.Position), true
	})
	b, _ := s.Direct().Backend(1)
	return b
}

func flowNumber(n int) packet.FlowID {
	a := netip.AddrFrom4([4]byte{100, 64, byte(n >> 16), byte(n >> 8)})
	return packet.FlowID{Client: netip.AddrPortFrom(a, uint16(1000+n&0xff)), Address: netip.MustParseAddrPort("198.18.0.1:443")}
}

func assertOpen(t *testing.T, b *table.Backend, want int32) {
	t.Helper()
	if got := b.State.OpenFlows(); got != want {
		t.Errorf("%d long-lived flows are open at the instance, want %d", got, want)
	}
}

// Guards against a count of open flows that falls below the actual number, so
// that the instance attracts all new flows.
func TestOpenFlowsAreCounted(t *testing.T) {
	var h locks.Holder
	t.Run("opened and forgotten", func(t *testing.T) {
		s := &table.Set{}
		b := withInstance(s, &h, 1, 1)
		TrackOpened(&h, listedAt, s, flowNumber(1), table.Track{}, b, true)
		assertOpen(t, b, 1)
		ForgetTrack(&h, s, flowNumber(1))
		assertOpen(t, b, 0)
	})
	t.Run("table full at the opening", func(t *testing.T) {
		s := &table.Set{}
		b := withInstance(s, &h, 1, 1)
		full := 0
		for s.Tracks.Put(&h, flowNumber(full), table.Track{}) {
			full++
		}
		track := TrackOpened(&h, listedAt, s, flowNumber(full), table.Track{}, b, true)
		for n := range full {
			ForgetTrack(&h, s, flowNumber(n))
		}
		TrackSegment(&h, listedAt, s, &packet.Segment{Flow: flowNumber(full)}, track, b)
		ForgetTrack(&h, s, flowNumber(full))
		assertOpen(t, b, 0)
	})
	t.Run("instance restarted under the same ID", func(t *testing.T) {
		s := &table.Set{}
		TrackOpened(&h, listedAt, s, flowNumber(1), table.Track{}, withInstance(s, &h, 1, 1), true)
		restarted := withInstance(s, &h, 2, 2)
		ForgetTrack(&h, s, flowNumber(1))
		assertOpen(t, restarted, 0)
	})
}
