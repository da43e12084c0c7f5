package table

import (
	"net/netip"
	"testing"
	"time"

	"egretdock/core/locks"
	"egretdock/core/packet"
)

var trackStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func segment(seq uint32, data int, ack uint32) *packet.Segment {
	return &packet.Segment{Seq: seq, Data: data, Ack: ack}
}

func seenIs(t *testing.T, got, want Observation) {
	t.Helper()
	if got != want {
		t.Errorf("seen %+v, want %+v", got, want)
	}
}

func TestTrackSegment(t *testing.T) {
	at := func(ms int) time.Time { return trackStart.Add(time.Duration(ms) * time.Millisecond) }
	open, _ := Track{}.WithSegment(at(0), segment(100, 1200, 50))
	t.Run("repeated after the client's timeout", func(t *testing.T) {
		_, seen := open.WithSegment(at(200), segment(100, 1200, 50))
		seenIs(t, seen, Observation{Repeated: true})
	})
	// Guards against healthy instances in doubt: packets of an upload overtake
	// each other.
	t.Run("overtaken is not repeated", func(t *testing.T) {
		later, _ := open.WithSegment(at(1), segment(2500, 500, 50))
		_, seen := later.WithSegment(at(2), segment(1300, 1200, 50))
		seenIs(t, seen, Observation{})
	})
	t.Run("acknowledged answer", func(t *testing.T) {
		next, seen := open.WithSegment(at(40), segment(1300, 0, 900))
		seenIs(t, seen, Observation{Progress: true, Took: 40 * time.Millisecond})
		_, seen = next.WithSegment(at(41), segment(1300, 0, 1800))
		seenIs(t, seen, Observation{Progress: true})
	})
	t.Run("across the end of the numbers", func(t *testing.T) {
		tr, _ := Track{}.WithSegment(at(0), segment(0xffffff00, 256, 0xfffffff0))
		tr, seen := tr.WithSegment(at(300), segment(1, 100, 0x10))
		seenIs(t, seen, Observation{Progress: true, Took: 300 * time.Millisecond})
		_, seen = tr.WithSegment(at(600), segment(1, 100, 0x10))
		seenIs(t, seen, Observation{Repeated: true})
	})
}

// Guards against a table that grows without bound in a flood of openings.
func TestTracksAreBounded(t *testing.T) {
	var ts Tracks
	var h locks.Holder
	taken := 0
	for i := range 2 * DefaultTrackLimit {
		f := packet.FlowID{Client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(i)), Address: netip.MustParseAddrPort("198.18.0.1:80")}
		if ts.Put(&h, f, Track{Seen: trackStart}) {
			taken++
		}
	}
	if n := ts.Len(&h); n != taken || n > DefaultTrackLimit {
		t.Errorf("%d tracks, %d taken, want at most %d", n, taken, DefaultTrackLimit)
	}
	ts.Sweep(&h, func(Track) bool { return true }, func(Track) {})
	if n, o := ts.Len(&h), len(ts.Waiting(&h, func(packet.FlowID, Track) bool { return true })); n+o > 0 {
		t.Errorf("%d tracks and %d openings are left after a sweep", n, o)
	}
}
