package logs

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/clock"
	"egretdock/core/fault"
)

// fieldCodec formats and parses one field of a line.
type fieldCodec struct {
	key string
	// get returns "" for a field that is left out.
	get func(*Record) string
	set func(*Record, string) error
}

// codecs holds the fields in the order in which they are written.
var codecs = [...]fieldCodec{
	{"process", func(r *Record) string { return r.Process }, func(r *Record, v string) error { return setText(&r.Process, v) }},
	{"data_centre", func(r *Record) string { return r.DataCentre }, func(r *Record, v string) error { return setText(&r.DataCentre, v) }},
	{"at", func(r *Record) string { return r.At.String() }, setAt},
	{"event", func(r *Record) string { return r.Event.Name }, func(r *Record, v string) error { return setText(&r.Event.Name, v) }},
	{"flow", func(r *Record) string { return formatNumber(r.Event.Flow) }, func(r *Record, v string) error { return setNumber(&r.Event.Flow, v) }},
	{"customer", func(r *Record) string { return r.Event.Customer }, func(r *Record, v string) error { return setText(&r.Event.Customer, v) }},
	{"upstream", func(r *Record) string { return r.Event.Upstream }, func(r *Record, v string) error { return setText(&r.Event.Upstream, v) }},
	{"revision", func(r *Record) string { return formatNumber(r.Event.Revision) }, func(r *Record, v string) error { return setNumber(&r.Event.Revision, v) }},
	{"era", func(r *Record) string { return formatNumber(r.Event.Era) }, func(r *Record, v string) error { return setNumber(&r.Event.Era, v) }},
	{"client", func(r *Record) string { return formatAddress(r.Event.Client) }, func(r *Record, v string) error { return setAddress(&r.Event.Client, v) }},
	{"address", func(r *Record) string { return formatAddress(r.Event.Address) }, func(r *Record, v string) error { return setAddress(&r.Event.Address, v) }},
	{"request", func(r *Record) string { return r.Event.Request }, func(r *Record, v string) error { return setText(&r.Event.Request, v) }},
	{"service", func(r *Record) string { return r.Event.Service }, func(r *Record, v string) error { return setText(&r.Event.Service, v) }},
	{"age", func(r *Record) string { return formatDuration(r.Event.Age) }, func(r *Record, v string) error { return setDuration(&r.Event.Age, v) }},
	{"list", func(r *Record) string { return formatNumber(r.Event.ListRevision) }, func(r *Record, v string) error { return setNumber(&r.Event.ListRevision, v) }},
	{"list_era", func(r *Record) string { return formatNumber(r.Event.ListEra) }, func(r *Record, v string) error { return setNumber(&r.Event.ListEra, v) }},
	{"list_age", func(r *Record) string { return formatDuration(r.Event.ListAge) }, func(r *Record, v string) error { return setDuration(&r.Event.ListAge, v) }},
	{"took", func(r *Record) string { return formatDuration(r.Event.Elapsed) }, func(r *Record, v string) error { return setDuration(&r.Event.Elapsed, v) }},
	{"load", func(r *Record) string { return formatNumber(uint64(r.Event.Load)) }, func(r *Record, v string) error { return setCount(&r.Event.Load, v) }},
	{"candidates", func(r *Record) string { return formatNumber(uint64(r.Event.Candidates)) }, func(r *Record, v string) error { return setCount(&r.Event.Candidates, v) }},
	{"detail", func(r *Record) string { return r.Event.Detail }, func(r *Record, v string) error { return setText(&r.Event.Detail, v) }},
}

// klogHeader matches what klog puts before a message.
var klogHeader = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^[IWEF]\d{4} \d\d:\d\d:\d\d\.\d{6} +\d+ [^ \]]+:\d+\] `)
})

// IsEvent reports whether a line of a log begins like an event, with or without
// klog's header.
func IsEvent(line string) bool {
	return strings.HasPrefix(trimHeader(line), "process=")
}

// Parse returns the record of a line, with or without klog's header. Unknown
// keys are skipped, so that lines of later versions can be read. Errors have
// the kind invalid.
func Parse(line string) (Record, error) {
	var r Record
	var seen [len(codecs)]bool
	for rest := trimHeader(line); rest != ""; {
		key, value, next, err := cutPair(rest)
		if err != nil {
			return Record{}, malformedLine(err)
		}
		rest = next
		for i, c := range codecs {
			if c.key != key {
				continue
			}
			if seen[i] {
				return Record{}, malformedLine(errors.Errorf("%s occurs twice", key))
			}
			seen[i] = true
			if err := c.set(&r, value); err != nil {
				return Record{}, malformedLine(errors.Wrap(err, key))
			}
		}
	}
	if r.Process == "" || r.Event.Name == "" || r.At.IsZero() {
		return Record{}, malformedLine(errors.New("process, at or event is missing"))
	}
	return r, nil
}

// trimHeader removes klog's header and the line break.
func trimHeader(line string) string {
	line = strings.TrimRight(line, "\r\n")
	return line[len(klogHeader().FindString(line)):]
}

// cutPair splits off the first key=value pair of s and the space after it.
func cutPair(s string) (key, value, rest string, err error) {
	key, rest, ok := strings.Cut(s, "=")
	if !ok || !isBare(key) {
		return "", "", "", errors.Errorf("no key=value pair at %.40q", s)
	}
	if strings.HasPrefix(rest, `"`) {
		lit, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return "", "", "", errors.Errorf("value of %s has no closing quote", key)
		}
		value, err = strconv.Unquote(lit)
		if err != nil {
			return "", "", "", errors.Wrap(err, key)
		}
		rest = rest[len(lit):]
	} else {
		n := strings.IndexByte(rest, ' ')
		if n < 0 {
			n = len(rest)
		}
		value, rest = rest[:n], rest[n:]
		if !isBare(value) {
			return "", "", "", errors.Errorf("value of %s must be quoted", key)
		}
	}
	if rest == "" {
		return key, value, "", nil
	}
	if len(rest) == 1 || rest[0] != ' ' {
		return "", "", "", errors.Errorf("no key=value pair after the value of %s", key)
	}
	return key, value, rest[1:], nil
}

// Quote returns a value as it is written in a line: bare or as a Go string
// literal.
func Quote(v string) string {
	if isBare(v) {
		return v
	}
	return strconv.Quote(v)
}

// isBare reports whether s is written without quotes.
func isBare(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\' {
			return false
		}
	}
	return s != ""
}

func setText(dst *string, v string) error {
	*dst = v
	return nil
}

func setNumber(dst *uint64, v string) (err error) {
	*dst, err = strconv.ParseUint(v, 10, 64)
	return err
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func setAddress(dst *netip.AddrPort, v string) (err error) {
	*dst, err = netip.ParseAddrPort(v)
	return err
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.Round(durationUnit).String()
}

// durationUnit is the unit to which durations in lines are rounded.
const durationUnit = 10 * time.Microsecond

func setDuration(dst *time.Duration, v string) (err error) {
	*dst, err = time.ParseDuration(v)
	return err
}

func setCount(dst *int, v string) (err error) {
	*dst, err = strconv.Atoi(v)
	return err
}

func setAt(r *Record, v string) (err error) {
	r.At, err = clock.Parse(v)
	return err
}

func malformedLine(cause error) error {
	return fault.Wrap(cause, fault.KindInvalid, "malformed event line",
		"pass lines as a balancer writes them or as /events serves them, not truncated or rewrapped")
}
