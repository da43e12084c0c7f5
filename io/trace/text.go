package trace

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"egretdock/io/logs"
)

// clockLayout shows microseconds: one-way latencies between hosts are about
// 1 ms.
const clockLayout = "15:04:05.000000"

// WriteText writes one line for each event: time of day, time since the event
// before it, process, event and the other fields. Values are quoted as in event
// lines, so that a value can neither break a line nor control the terminal.
func WriteText(w io.Writer, t Timeline) error {
	// Write errors stick to bw and are returned by Flush.
	bw := bufio.NewWriter(w)
	var process, event int
	for _, r := range t.records {
		process = max(process, len(logs.Quote(r.Process)))
		event = max(event, len(logs.Quote(r.Event.Name)))
	}
	var day string
	for i, r := range t.records {
		if d := r.At.Time().Format(time.DateOnly); d != day {
			day = d
			_, _ = fmt.Fprintln(bw, day, "UTC")
		}
		line := fmt.Sprintf("%s %12s  %-*s  %-*s  %s", r.At.Time().Format(clockLayout), sinceBefore(t.records, i),
			process, logs.Quote(r.Process), event, logs.Quote(r.Event.Name), joinPairs(rest(r)))
		_, _ = fmt.Fprintln(bw, strings.TrimRight(line, " "))
	}
	return bw.Flush()
}

// rest returns the fields that have no column of their own.
func rest(r logs.Record) []logs.Field {
	var out []logs.Field
	for _, p := range r.Fields() {
		switch p.Key {
		case "process", "data_centre", "at", "event":
		default:
			out = append(out, p)
		}
	}
	return out
}

func joinPairs(ps []logs.Field) string {
	words := make([]string, len(ps))
	for i, p := range ps {
		words[i] = p.String()
	}
	return strings.Join(words, " ")
}

// sinceBefore returns the logical time between record i and the one before it.
func sinceBefore(rs []logs.Record, i int) string {
	if i == 0 {
		return ""
	}
	return "+" + time.Duration(rs[i].At.Wall-rs[i-1].At.Wall).Round(time.Microsecond).String()
}
