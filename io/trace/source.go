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

// Source is where event lines come from.
//
//sumtype:decl
type Source interface{ source() }

// Sources.
type (
	// File is the path of a log file. Lines that are not events are skipped.
	File string
	// Stream is an open log.
	Stream struct {
		Name   string
		Reader io.Reader
	}
	// EventsURL is the URL of the /events page of a process.
	EventsURL string
)

func (File) source()   {}
func (Stream) source() {}
func (EventsURL) source()  {}

const (
	// maxLine exceeds the 5 KB of the longest event line.
	maxLine = 16 << 10
	// maxPage exceeds a full ring of 4,096 lines of 5 KB.
	maxPage = 32 << 20
	// readers bounds the sources that are read at a time.
	readers = 8
	// pageTimeout lets one dead host delay the time line, not prevent it.
	pageTimeout = 10 * time.Second
)

// Read merges the records of all sources that meet the conditions. Each source
// that fails, wholly or in part, adds an error; what could be read is in the
// time line nevertheless.
func Read(ctx context.Context, sources []Source, cs ...Condition) (Timeline, []error) {
	found := make([][]logs.Record, len(sources))
	errs := make([]error, len(sources))
	var g errgroup.Group
	g.SetLimit(readers)
	for i, s := range sources {
		g.Go(func() error {
			found[i], errs[i] = readSource(ctx, s, cs)
			return nil
		})
	}
	_ = g.Wait()
	var t Timeline
	var failed []error
	for i := range sources {
		t.records = append(t.records, found[i]...)
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
		return readAdmin(ctx, string(s), cs)
	}
	return nil, errors.Errorf("unknown source %T", s)
}

func readAdmin(ctx context.Context, url string, cs []Condition) ([]logs.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	unavailable := func(err error) error {
		return fault.Wrap(err, fault.KindUnavailable, "no events from "+url,
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
	return readLines(url, io.LimitReader(resp.Body, maxPage), cs)
}

// readLines returns the matching records of r. Lines that are no events are
// skipped; damaged events are skipped and reported in one error.
func readLines(name string, r io.Reader, cs []Condition) ([]logs.Record, error) {
	var out []logs.Record
	var first error
	damaged := 0
	br := bufio.NewReaderSize(r, maxLine)
	for n := 1; ; n++ {
		line, long, err := br.ReadLine()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return out, fault.Wrap(err, fault.KindUnavailable, name+" ended early", "read it again")
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
			damaged++
			if first == nil {
				first = errors.Wrap(err, fmt.Sprintf("%s:%d", name, n))
			}
			continue
		}
		if matches(rec, cs) {
			out = append(out, rec)
		}
	}
	if damaged > 0 {
		first = errors.Wrap(first, fmt.Sprintf("%d damaged lines skipped, the first at", damaged))
	}
	return out, first
}
