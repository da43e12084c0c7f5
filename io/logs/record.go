// Package logs writes each event of a process as one line of key=value pairs
// and keeps the most recent ones in memory, because hosts have no disks.
//
// Lines have the form
//
//	process=casa1-b1 data_centre=casa1 at=2026-12-04T08:00:00.000000000Z/0 event=flow_open flow=7 detail="two words"
//
// A value is unquoted when it is not empty and consists of printable ASCII
// without space, '"', '=' and '\'; any other value is a Go string
// literal in double quotes. Fields that are zero are left out.
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

// maxText is the maximum length of a text of an event in bytes. It bounds the
// memory of the ring, and a line to 7 KB even when each byte of its six texts
// is escaped.
const maxText = 256

// WithEvent returns a copy with another event, whose texts are truncated to
// maxText bytes.
func (r Record) WithEvent(e effect.Event) Record {
	e.Name = truncate(e.Name)
	e.Customer = truncate(e.Customer)
	e.Upstream = truncate(e.Upstream)
	e.Detail = truncate(e.Detail)
	e.Request = truncate(e.Request)
	e.Service = truncate(e.Service)
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

// Field is one field of a line.
type Field struct{ Key, Value string }

// String returns key=value as it is written in a line.
func (f Field) String() string { return f.Key + "=" + Quote(f.Value) }

// Fields returns the fields that are not empty, in the order of the line.
func (r Record) Fields() []Field {
	out := make([]Field, 0, len(codecs))
	for _, c := range codecs {
		if v := c.get(&r); v != "" {
			out = append(out, Field{c.key, v})
		}
	}
	return out
}

// String returns the line without a newline. Parse is its inverse.
func (r Record) String() string {
	var b strings.Builder
	for i, f := range r.Fields() {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(f.String())
	}
	return b.String()
}

func truncate(s string) string {
	if len(s) <= maxText {
		return s
	}
	n := maxText - len("...")
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "..."
}

func formatNumber(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}
