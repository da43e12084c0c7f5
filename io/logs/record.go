// Package logs writes each event of a process as one line of key=value pairs
// and keeps the most recent ones in memory, because hosts have no disks.
//
// Lines have the form
//
//	process=casa1-b1 data_centre=casa1 at=2026-12-04T08:00:00.000000000Z/0 event=flow_open flow=7 detail="two words"
//
// A value is unquoted when it is not empty and consists of printable ASCII
// without space, '"', '=' and '\'; any other value is a Go string literal in
// double quotes. Fields that are zero are left out.
package logs

import (
	"strconv"
	"strings"
	"unicode/utf8"

	"egretdock/core/clock"
	"egretdock/core/effect"
)

// Record is an event with its origin and time. It is immutable.
type Record struct {
	// Process is the name of the balancer or other process.
	Process    string
	DataCentre string
	// At is unique within a process.
	At    clock.Stamp
	Event effect.Event
}

// maxText bounds a text of an event, so that the memory of the ring is bounded
// and the six texts fit into a line of 7 KB even when each byte is escaped.
const maxText = 256

// WithEvent returns a copy with another event, the texts of which are cut to
// at most 256 bytes.
func (r Record) WithEvent(e effect.Event) Record {
	e.Name = cut(e.Name)
	e.Customer = cut(e.Customer)
	e.Upstream = cut(e.Upstream)
	e.Detail = cut(e.Detail)
	e.Request = cut(e.Request)
	e.Service = cut(e.Service)
	r.Event = e
	return r
}

// Compare orders records by time, then by process.
func (r Record) Compare(o Record) int {
	if c := r.At.Compare(o.At); c != 0 {
		return c
	}
	switch {
	case r.Process < o.Process:
		return -1
	case r.Process > o.Process:
		return 1
	default:
		return 0
	}
}

// Pair is one field of a line.
type Pair struct{ Key, Value string }

// String returns key=value as it stands in a line.
func (p Pair) String() string { return p.Key + "=" + Quote(p.Value) }

// Pairs returns the fields that are not empty, in the order of the line.
func (r Record) Pairs() []Pair {
	ps := make([]Pair, 0, len(fields))
	for _, f := range fields {
		if v := f.get(&r); v != "" {
			ps = append(ps, Pair{f.key, v})
		}
	}
	return ps
}

// String returns the line without a newline. Parse is its inverse.
func (r Record) String() string {
	var b strings.Builder
	for i, p := range r.Pairs() {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(p.String())
	}
	return b.String()
}

func cut(s string) string {
	if len(s) <= maxText {
		return s
	}
	n := maxText - len("...")
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "..."
}

func number(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}
