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
	return &packet.Segment{Seq: seq, PayloadLen: data, Ack: ack}
}

func assertObservation(t *testing.T, got, want Observation) {
	t.Helper()
	if got != want {
		t.Errorf("observation %+v, want %+v", got, want)
	}
}

func TestTrackSegment(t *testing.T) {
	at := func(ms int) time.Time { return trackStart.Add(time.Duration(ms) * time.Millisecond) }
	open, _ := Track{}.WithSegment(at(0), segment(100, 1200, 50))
	t.Run("repeated after the client's timeout", func(t *testing.T) {
		_, o := open.WithSegment(at(200), segment(100, 1200, 50))
		assertObservation(t, o, Observation{Repeated: true})
	})
	// Guards against counting a failure of a healthy instance when packets of an
	// upload are reordered.
	t.Run("reordered is not repeated", func(t *testing.T) {
		later, _ := open.WithSegment(at(1), segment(2500, 500, 50))
		_, o := later.WithSegment(at(2), segment(1300, 1200, 50))
		assertObservation(t, o, Observation{})
	})
	t.Run("acknowledged answer", func(t *testing.T) {
		next, o := open.WithSegment(at(40), segment(1300, 0, 900))
		assertObservation(t, o, Observation{Progress: true, Took: 40 * time.Millisecond})
		_, o = next.WithSegment(at(41), segment(1300, 0, 1800))
		assertObservation(t, o, Observation{Progress: true})
	})
	t.Run("across the wraparound of sequence numbers", func(t *testing.T) {
		tr, _ := Track{}.WithSegment(at(0), segment(0xffffff00, 256, 0xfffffff0))
		tr, o := tr.WithSegment(at(300), segment(1, 100, 0x10))
		assertObservation(t, o, Observation{Progress: true, Took: 300 * time.Millisecond})
		_, o = tr.WithSegment(at(600), segment(1, 100, 0x10))
		assertObservation(t, o, Observation{Repeated: true})
	})
}

// Guards against a table that grows without bound under a flood of openings.
func TestTracksAreBounded(t *testing.T) {
	var ts Tracks
	var h locks.Holder
	stored := 0
	for i := range 2 * DefaultTrackLimit {
		f := packet.FlowID{Client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(i)), Address: netip.MustParseAddrPort("198.18.0.1:80")}
		if ts.Put(&h, f, Track{Seen: trackStart}) {
			stored++
		}
	}
	if n := ts.Len(&h); n != stored || n > DefaultTrackLimit {
		t.Errorf("%d tracks, %d stored, want at most %d", n, stored, DefaultTrackLimit)
	}
	ts.Sweep(&h, func(Track) bool { return true }, func(Track) {})
	if n, o := ts.Len(&h), len(ts.Waiting(&h, func(packet.FlowID, Track) bool { return true })); n+o > 0 {
		t.Errorf("%d tracks and %d openings are left after a sweep", n, o)
	}
}
