// Package clock is a hybrid logical clock: timestamps that stay close to
// physical time and never contradict cause and effect between processes that
// exchange them.
package clock

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"egretdock/core/fault"
)

// MaxDrift bounds how far a remote stamp may lie ahead of the local physical
// time. Hosts with working time synchronisation agree within a second; one
// host that is a minute off must not pull the timestamps of the whole fleet
// along, because logical time never goes back.
const MaxDrift = time.Minute

const maxCount = ^uint32(0)

// layout has a fixed width for the years 1678 to 2261, so that the text of two
// stamps with different wall times sorts like the stamps.
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
// message. It is greater than s for every now, also after a step back of the
// physical clock.
func (s Stamp) Tick(now time.Time) Stamp {
	if w := now.UnixNano(); w > s.Wall {
		return Stamp{Wall: w}
	}
	return s.next()
}

// Merge returns the stamp of the receipt of a message that carries remote. It
// is greater than s and, when Merge reports true, greater than remote. Merge
// reports false when remote is more than MaxDrift ahead of now: then remote is
// ignored, and only the order of events relative to that sender is lost.
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

// Time returns the physical part.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// String returns the physical part in UTC and the count, as in
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

// Parse returns the stamp with the given string form.
func Parse(text string) (Stamp, error) {
	wall, count, _ := strings.Cut(text, "/")
	t, err := time.Parse(layout, wall)
	n, err2 := strconv.ParseUint(count, 10, 32)
	s := Stamp{Wall: t.UnixNano(), Count: uint32(n)}
	// The comparison rejects years that nanoseconds in 64 bits cannot hold and
	// other spellings of the same stamp.
	if err != nil || err2 != nil || s.String() != text {
		return Stamp{}, fault.New(fault.KindInvalid,
			"invalid timestamp "+strconv.Quote(text),
			"write it as in "+Stamp{}.String()+", as the event lines do")
	}
	return s, nil
}
