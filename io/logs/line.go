package logs

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"egretdock/core/clock"
	"egretdock/core/fault"
)

// field is one key of a line. Writer and parser share the table.
type field struct {
	key string
	// get returns "" for a field that is left out.
	get func(*Record) string
	set func(*Record, string) error
}

var fields = [...]field{
	{"process", func(r *Record) string { return r.Process }, func(r *Record, v string) error { return setText(&r.Process, v) }},
	{"data_centre", func(r *Record) string { return r.DataCentre }, func(r *Record, v string) error { return setText(&r.DataCentre, v) }},
	{"at", func(r *Record) string { return r.At.String() }, setAt},
	{"event", func(r *Record) string { return r.Event.Name }, func(r *Record, v string) error { return setText(&r.Event.Name, v) }},
	{"flow", func(r *Record) string { return number(r.Event.Flow) }, func(r *Record, v string) error { return setNumber(&r.Event.Flow, v) }},
	{"customer", func(r *Record) string { return r.Event.Customer }, func(r *Record, v string) error { return setText(&r.Event.Customer, v) }},
	{"upstream", func(r *Record) string { return r.Event.Upstream }, func(r *Record, v string) error { return setText(&r.Event.Upstream, v) }},
	{"revision", func(r *Record) string { return number(r.Event.Revision) }, func(r *Record, v string) error { return setNumber(&r.Event.Revision, v) }},
	{"client", func(r *Record) string { return address(r.Event.Client) }, func(r *Record, v string) error { return setAddress(&r.Event.Client, v) }},
	{"address", func(r *Record) string { return address(r.Event.Address) }, func(r *Record, v string) error { return setAddress(&r.Event.Address, v) }},
	{"request", func(r *Record) string { return r.Event.Request }, func(r *Record, v string) error { return setText(&r.Event.Request, v) }},
	{"service", func(r *Record) string { return r.Event.Service }, func(r *Record, v string) error { return setText(&r.Event.Service, v) }},
	{"age", func(r *Record) string { return duration(r.Event.Age) }, func(r *Record, v string) error { return setDuration(&r.Event.Age, v) }},
	{"list", func(r *Record) string { return number(r.Event.ListRevision) }, func(r *Record, v string) error { return setNumber(&r.Event.ListRevision, v) }},
	{"list_age", func(r *Record) string { return duration(r.Event.ListAge) }, func(r *Record, v string) error { return setDuration(&r.Event.ListAge, v) }},
	{"took", func(r *Record) string { return duration(r.Event.Elapsed) }, func(r *Record, v string) error { return setDuration(&r.Event.Elapsed, v) }},
	{"load", func(r *Record) string { return number(uint64(r.Event.Load)) }, func(r *Record, v string) error { return setCount(&r.Event.Load, v) }},
	{"candidates", func(r *Record) string { return number(uint64(r.Event.Candidates)) }, func(r *Record, v string) error { return setCount(&r.Event.Candidates, v) }},
	{"detail", func(r *Record) string { return r.Event.Detail }, func(r *Record, v string) error { return setText(&r.Event.Detail, v) }},
}

// header is what klog puts before a message.
var header = regexp.MustCompile(`^[IWEF]\d{4} \d\d:\d\d:\d\d\.\d{6} +\d+ [^ \]]+:\d+\] `)

// IsEvent reports whether a line of a log claims to be an event, with or
// without klog's header.
func IsEvent(line string) bool {
	return strings.HasPrefix(body(line), "process=")
}

// Parse returns the record of a line, with or without klog's header. Unknown
// keys are skipped, so that lines of later versions can be read. Errors have
// kind invalid.
func Parse(line string) (Record, error) {
	var r Record
	var seen [len(fields)]bool
	for rest := body(line); rest != ""; {
		key, value, next, err := cutPair(rest)
		if err != nil {
			return Record{}, badLine(err)
		}
		rest = next
		for i, f := range fields {
			if f.key != key {
				continue
			}
			if seen[i] {
				return Record{}, badLine(errors.Errorf("%s occurs twice", key))
			}
			seen[i] = true
			if err := f.set(&r, value); err != nil {
				return Record{}, badLine(errors.Wrap(err, key))
			}
		}
	}
	if r.Process == "" || r.Event.Name == "" || r.At.IsZero() {
		return Record{}, badLine(errors.New("process, at or event is missing"))
	}
	return r, nil
}

func body(line string) string {
	line = strings.TrimRight(line, "\r\n")
	return line[len(header.FindString(line)):]
}

// cutPair splits the first pair off s and drops the space after it.
func cutPair(s string) (key, value, rest string, err error) {
	key, rest, ok := strings.Cut(s, "=")
	if !ok || !isBare(key) {
		return "", "", "", errors.Errorf("no key=value pair at %.40q", s)
	}
	if strings.HasPrefix(rest, `"`) {
		lit, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return "", "", "", errors.Errorf("unfinished quote after %s=", key)
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
			return "", "", "", errors.Errorf("value of %s needs quotes", key)
		}
	}
	if rest == "" {
		return key, value, "", nil
	}
	if len(rest) == 1 || rest[0] != ' ' {
		return "", "", "", errors.Errorf("no pair follows %s", key)
	}
	return key, value, rest[1:], nil
}

// Quote returns a value as it stands in a line.
func Quote(v string) string {
	if isBare(v) {
		return v
	}
	return strconv.Quote(v)
}

func isBare(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\' {
			return false
		}
	}
	return s != ""
}

func setText(to *string, v string) error {
	*to = v
	return nil
}

func setNumber(to *uint64, v string) (err error) {
	*to, err = strconv.ParseUint(v, 10, 64)
	return err
}

func address(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func setAddress(to *netip.AddrPort, v string) (err error) {
	*to, err = netip.ParseAddrPort(v)
	return err
}

func duration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.Round(durationUnit).String()
}

// durationUnit is the precision of durations in lines.
const durationUnit = 10 * time.Microsecond

func setDuration(to *time.Duration, v string) (err error) {
	*to, err = time.ParseDuration(v)
	return err
}

func setCount(to *int, v string) (err error) {
	*to, err = strconv.Atoi(v)
	return err
}

func setAt(r *Record, v string) (err error) {
	r.At, err = clock.Parse(v)
	return err
}

func badLine(cause error) error {
	return fault.Wrap(cause, fault.KindInvalid, "malformed event line",
		"pass lines as written by a balancer or served by /events, not cut or rewrapped")
}
