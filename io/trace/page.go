package trace

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"egretdock/core/effect"
	"egretdock/io/logs"
)

// MaxRows bounds the page; a browser stays responsive with this many rows.
const MaxRows = 20000

// kind is a group of events that the page shows in one colour.
type kind string

const (
	kindFault    kind = "fault"
	kindConfig   kind = "config"
	kindMember   kind = "member"
	kindFlow     kind = "flow"
	kindUpstream kind = "upstream"
	kindOther    kind = "other"
)

// kinds holds the kinds in the order of the legend.
var kinds = []kind{kindFault, kindConfig, kindMember, kindFlow, kindUpstream, kindOther}

// kindSubstrings selects the kind of an event by substrings of its name. The
// first match decides.
var kindSubstrings = []struct {
	kind       kind
	substrings []string
}{
	{kindFault, []string{"refus", "reset", "fail", "lost", "drop", "dead", "suspect", "shed", "expire", "conflict", "reject", "timeout", "error", "ahead", "overwritten", "eject", "quarantin", "unavailable", "panic"}},
	{kindConfig, []string{"config", "revision", "change", "edit", "snapshot", "lease", "relay", "template", "params"}},
	{kindMember, []string{"member", "balancer", "host", "probe", "gossip", "join", "leav", "owner", "alive"}},
}

func kindOf(e effect.Event) kind {
	for _, k := range kindSubstrings {
		if slices.ContainsFunc(k.substrings, func(s string) bool { return strings.Contains(e.Name, s) }) {
			return k.kind
		}
	}
	switch {
	case e.Flow != 0:
		return kindFlow
	case e.Upstream != "":
		return kindUpstream
	case e.Revision != 0:
		return kindConfig
	}
	return kindOther
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

type page struct {
	Title string
	// Span describes the period and the number of events that the page shows.
	Span string
	// Omitted is the number of earlier events that the page does not show.
	Omitted int
	Kinds   []kind
	Lanes   []Lane
	// LaneWidth is the distance between lanes in pixels, LabelHeight the height
	// of their slanted labels.
	LaneWidth, LabelHeight int
	// ProcessWidth and EventWidth are the widths of columns in characters.
	ProcessWidth, EventWidth int
	Rows                     []row
}

type row struct {
	// Lane is an index into page.Lanes.
	Lane int
	Kind kind
	// Clock is the time of day, and Since the time since the previous row.
	Clock, Since string
	At           string
	// Micros is the time since the first row in microseconds.
	Micros int64
	// Gap marks a row a second or more after the previous one.
	Gap            bool
	Process, Event string
	Fields         []logs.Field
	// Line is the event line, which the filter box searches.
	Line string
}

// WriteHTML writes a self-contained HTML page with a lane for each process and
// time from top to bottom. It shows the latest MaxRows events and says how many
// earlier ones it leaves out.
func WriteHTML(w io.Writer, t Timeline) error { return writeHTML(w, t, MaxRows) }

func writeHTML(w io.Writer, t Timeline, limit int) error {
	shown := t.Last(limit)
	lanes := shown.Lanes()
	p := page{
		Title:   "egretdock timeline",
		Span:    span(shown),
		Omitted: t.Len() - shown.Len(),
		Kinds:   kinds,
		Lanes:   lanes,
		// The more lanes there are, the narrower they are, down to 9 pixels,
		// about the width of a dot.
		LaneWidth: min(24, max(9, 480/max(1, len(lanes)))),
		Rows:      rows(shown, lanes),
	}
	process, event := len("process"), len("event")
	for _, r := range p.Rows {
		process, event = max(process, len(r.Process)), max(event, len(r.Event))
	}
	p.ProcessWidth, p.EventWidth = min(process, 24), min(event, 32)
	p.LabelHeight = 20 + 6*min(p.ProcessWidth, 18)
	return pageTemplate.Execute(w, p)
}

func rows(t Timeline, lanes []Lane) []row {
	index := make(map[string]int, len(lanes))
	for i, l := range lanes {
		index[l.Process] = i
	}
	out := make([]row, 0, t.Len())
	for i, r := range t.records {
		out = append(out, row{
			Lane:    index[r.Process],
			Kind:    kindOf(r.Event),
			Clock:   r.At.Time().Format(clockLayout),
			Since:   sincePrevious(t.records, i),
			At:      r.At.String(),
			Micros:  time.Duration(r.At.Wall - t.records[0].At.Wall).Microseconds(),
			Gap:     i > 0 && r.At.Wall-t.records[i-1].At.Wall >= int64(time.Second),
			Process: r.Process,
			Event:   r.Event.Name,
			Fields:  detailFields(r),
			Line:    r.String(),
		})
	}
	return out
}

func span(t Timeline) string {
	if t.Len() == 0 {
		return "no events"
	}
	first, last := t.records[0].At.Time(), t.records[t.Len()-1].At.Time()
	return fmt.Sprintf("%d events in %s from %s UTC", t.Len(),
		last.Sub(first).Round(time.Microsecond), first.Format("2006-01-02 15:04:05.000"))
}
