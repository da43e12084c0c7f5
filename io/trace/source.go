package trace

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"egretdock/core/fault"
	"egretdock/io/logs"
)

// Source is a place that event lines are read from.
//
//sumtype:decl
type Source interface{ source() }

// Sources that Read accepts.
type (
	// File is the path of a log file.
	File string
	// Stream is a log that is already open; errors quote its name.
	Stream struct {
		Name   string
		Reader io.Reader
	}
	// EventsURL is the URL of the /events page of a process.
	EventsURL string
)

func (File) source()      {}
func (Stream) source()    {}
func (EventsURL) source() {}

const (
	// maxLine exceeds the 7 KB of the longest event line. The rest of a longer
	// line is skipped.
	maxLine = 16 << 10
	// maxResponse is enough for a full ring of 4,096 lines of 7 KB.
	maxResponse = 32 << 20
	// maxReaders bounds the sources that are read at the same time.
	maxReaders = 8
	// responseTimeout keeps a host that does not answer from blocking the
	// timeline.
	responseTimeout = 10 * time.Second
)

// Read merges the records of all sources that match the conditions. Each source
// that fails, wholly or in part, adds an error; the records that were read from
// it are in the timeline nevertheless. Lines that are not events are skipped.
func Read(ctx context.Context, sources []Source, cs ...Condition) (Timeline, []error) {
	records := make([][]logs.Record, len(sources))
	errs := make([]error, len(sources))
	var g errgroup.Group
	g.SetLimit(maxReaders)
	for i, s := range sources {
		g.Go(func() error {
			records[i], errs[i] = readSource(ctx, s, cs)
			return nil
		})
	}
	_ = g.Wait()
	var t Timeline
	var failed []error
	for i := range sources {
		t.records = append(t.records, records[i]...)
		if errs[i] != nil {
			failed = append(failed, errs[i])
		}
	}
	return t.With(), failed
}

func readSource(ctx context.Context, s Source, cs []Condition) ([]logs.Record, error) {
	switch s := s.(type) {
	case File:
		f, err := os.Open(string(s))
		if err != nil {
			return nil, fault.Wrap(err, fault.KindNotFound, "cannot read the log", "check the path and its permissions")
		}
		defer func() { _ = f.Close() }()
		return readLines(string(s), f, cs)
	case Stream:
		return readLines(s.Name, s.Reader, cs)
	case EventsURL:
		return readURL(ctx, string(s), cs)
	}
	return nil, errors.Errorf("unknown source %T", s)
}

func readURL(ctx context.Context, url string, cs []Condition) ([]logs.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	unavailable := func(err error) error {
		return fault.Wrap(err, fault.KindUnavailable, "cannot read the events of "+url,
			"check that the process runs and that this is its admin address")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalid, "invalid admin address "+url, "write it as in http://10.0.0.1:9300/events")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, unavailable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, unavailable(errors.New("status " + resp.Status))
	}
	return readLines(url, io.LimitReader(resp.Body, maxResponse), cs)
}

// readLines returns the records of r that match the conditions. Lines that are
// not events are skipped; malformed events are skipped and reported in one
// error.
func readLines(name string, r io.Reader, cs []Condition) ([]logs.Record, error) {
	var out []logs.Record
	var first error
	malformed := 0
	br := bufio.NewReaderSize(r, maxLine)
	for n := 1; ; n++ {
		line, long, err := br.ReadLine()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return out, fault.Wrap(err, fault.KindUnavailable, name+" could not be read to its end", "read it again")
		}
		text := string(line)
		for long && err == nil {
			_, long, err = br.ReadLine()
		}
		if !logs.IsEvent(text) {
			continue
		}
		rec, err := logs.Parse(text)
		if err != nil {
			malformed++
			if first == nil {
				first = errors.Wrap(err, fmt.Sprintf("%s:%d", name, n))
			}
			continue
		}
		if matchesAll(rec, cs) {
			out = append(out, rec)
		}
	}
	if malformed > 0 {
		first = errors.Wrap(first, fmt.Sprintf("%d malformed lines skipped, the first at", malformed))
	}
	return out, first
}
