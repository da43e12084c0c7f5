// Package clock implements a hybrid logical clock: timestamps that stay close
// to physical time and respect causality between the processes that exchange
// them.
package clock

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"egretdock/core/fault"
)

// MaxDrift bounds how far a remote stamp may lie ahead of the local physical
// time. Hosts with working time synchronization agree within a second. A host
// whose clock is further ahead must not advance the timestamps of the whole
// fleet, because logical time never goes back.
const MaxDrift = time.Minute

const maxCount = ^uint32(0)

// layout has a fixed width for the years 1678 to 2261, so that the texts of
// stamps with different wall times sort like the stamps.
const layout = "2006-01-02T15:04:05.000000000Z"

// Stamp is a hybrid logical timestamp and, at the same time, the state of a
// clock. It is immutable and comparable; the zero value precedes all stamps of
// a running process.
type Stamp struct {
	// Wall is the largest physical time seen, in nanoseconds since 1970.
	Wall int64
	// Count orders stamps with the same Wall.
	Count uint32
}

// Tick returns the stamp of the next local event, such as the sending of a
// message. It is greater than s for every now, even after the physical clock
// has stepped back.
func (s Stamp) Tick(now time.Time) Stamp {
	if w := now.UnixNano(); w > s.Wall {
		return Stamp{Wall: w}
	}
	return s.next()
}

// Merge returns the stamp of the receipt of a message that carries remote. It
// is greater than s and, when Merge reports true, greater than remote. Merge
// reports false and ignores remote when remote is more than MaxDrift ahead of
// now; then only the order of events relative to that sender is lost.
func (s Stamp) Merge(now time.Time, remote Stamp) (Stamp, bool) {
	if remote.IsTooFarAhead(now) {
		return s.Tick(now), false
	}
	if s.Compare(remote) < 0 {
		s = remote
	}
	return s.Tick(now), true
}

// IsTooFarAhead reports whether s is more than MaxDrift ahead of now.
func (s Stamp) IsTooFarAhead(now time.Time) bool {
	return s.Wall > now.Add(MaxDrift).UnixNano()
}

// Compare returns -1, 0 or 1 as s is before, equal to or after t.
func (s Stamp) Compare(t Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, t.Wall), cmp.Compare(s.Count, t.Count))
}

// IsZero reports whether s is the zero stamp.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// Time returns Wall as a time in UTC.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// String returns Wall in UTC and Count, as in
// 2026-12-04T08:00:00.000000000Z/3.
func (s Stamp) String() string {
	return s.Time().Format(layout) + "/" + strconv.FormatUint(uint64(s.Count), 10)
}

func (s Stamp) next() Stamp {
	if s.Count == maxCount {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Count: s.Count + 1}
}

// Parse returns the stamp whose String is text.
func Parse(text string) (Stamp, error) {
	wall, count, _ := strings.Cut(text, "/")
	t, err := time.Parse(layout, wall)
	countValue, countErr := strconv.ParseUint(count, 10, 32)
	s := Stamp{Wall: t.UnixNano(), Count: uint32(countValue)}
	// The comparison rejects years that 64-bit nanoseconds cannot hold and other
	// spellings of the same stamp.
	if err != nil || countErr != nil || s.String() != text {
		return Stamp{}, fault.New(fault.KindInvalid,
			"invalid timestamp "+strconv.Quote(text),
			"write it as in "+Stamp{}.String()+", as the event lines do")
	}
	return s, nil
}
