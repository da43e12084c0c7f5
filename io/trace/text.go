package trace

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"egretdock/io/logs"
)

// clockLayout shows microseconds, because one-way latencies between hosts are
// about 1 ms.
const clockLayout = "15:04:05.000000"

// WriteText writes one line for each event: time of day, time since the previous
// event, process, event and the other fields. Values are quoted as in event
// lines, so that a value can neither break a line nor control the terminal.
func WriteText(w io.Writer, t Timeline) error {
	// bw keeps the first write error, and Flush returns it.
	bw := bufio.NewWriter(w)
	var processWidth, eventWidth int
	for _, r := range t.records {
		processWidth = max(processWidth, len(logs.Quote(r.Process)))
		eventWidth = max(eventWidth, len(logs.Quote(r.Event.Name)))
	}
	var day string
	for i, r := range t.records {
		if d := r.At.Time().Format(time.DateOnly); d != day {
			day = d
			_, _ = fmt.Fprintln(bw, day, "UTC")
		}
		line := fmt.Sprintf("%s %12s  %-*s  %-*s  %s", r.At.Time().Format(clockLayout), sincePrevious(t.records, i),
			processWidth, logs.Quote(r.Process), eventWidth, logs.Quote(r.Event.Name), joinFields(detailFields(r)))
		_, _ = fmt.Fprintln(bw, strings.TrimRight(line, " "))
	}
	return bw.Flush()
}

// detailFields returns the fields that have no column of their own.
func detailFields(r logs.Record) []logs.Field {
	var out []logs.Field
	for _, f := range r.Fields() {
		switch f.Key {
		case "process", "data_centre", "at", "event":
		default:
			out = append(out, f)
		}
	}
	return out
}

func joinFields(fields []logs.Field) string {
	words := make([]string, len(fields))
	for i, f := range fields {
		words[i] = f.String()
	}
	return strings.Join(words, " ")
}

// sincePrevious returns the logical time between record i and the previous one.
func sincePrevious(rs []logs.Record, i int) string {
	if i == 0 {
		return ""
	}
	return "+" + time.Duration(rs[i].At.Wall-rs[i-1].At.Wall).Round(time.Microsecond).String()
}
