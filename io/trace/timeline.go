// Package trace merges the event lines of many processes into one timeline
// and renders it as text or HTML.
//
// Events are ordered by their logical timestamps. As long as processes send
// their stamps with their messages, an effect comes after its cause even when
// the physical clocks of the hosts disagree.
package trace

import (
	"cmp"
	"slices"
	"strings"

	"egretdock/io/logs"
)

// Timeline is a sequence of records of several processes in logical order,
// without duplicates. It is immutable; the zero value is empty.
type Timeline struct {
	records []logs.Record
}

// With returns a timeline that also holds the given records. The same event
// from two sources, such as a file and an admin endpoint, is kept once.
func (t Timeline) With(rs ...logs.Record) Timeline {
	all := slices.Concat(t.records, rs)
	slices.SortFunc(all, func(a, b logs.Record) int {
		if c := a.Compare(b); c != 0 || a == b {
			return c
		}
		return cmp.Compare(a.String(), b.String())
	})
	return Timeline{records: slices.Compact(all)}
}

// Where returns the records that match all conditions.
func (t Timeline) Where(cs ...Condition) Timeline {
	var out []logs.Record
	for _, r := range t.records {
		if matchesAll(r, cs) {
			out = append(out, r)
		}
	}
	return Timeline{records: out}
}

// Last returns the last n records.
func (t Timeline) Last(n int) Timeline {
	return Timeline{records: t.records[max(0, len(t.records)-n):]}
}

// Len returns the number of records.
func (t Timeline) Len() int { return len(t.records) }

// Records returns the records in order. Callers must not modify the slice.
func (t Timeline) Records() []logs.Record { return t.records }

// Lane is the column of a process on the page.
type Lane struct{ Process, DataCentre string }

// Lanes returns a lane for each process that has records, in order of data
// centre and name.
func (t Timeline) Lanes() []Lane {
	seen := map[string]bool{}
	var out []Lane
	for _, r := range t.records {
		if !seen[r.Process] {
			seen[r.Process] = true
			out = append(out, Lane{r.Process, r.DataCentre})
		}
	}
	slices.SortFunc(out, func(a, b Lane) int {
		return cmp.Or(strings.Compare(a.DataCentre, b.DataCentre), strings.Compare(a.Process, b.Process))
	})
	return out
}
