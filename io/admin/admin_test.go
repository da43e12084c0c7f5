package admin

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"egretdock/core/clock"
	"egretdock/core/effect"
	"egretdock/core/fault"
	"egretdock/io/logs"
)

var base = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

type fakeState struct {
	status Status
	tick   time.Time
}

func (f *fakeState) Status() Status      { return f.status }
func (f *fakeState) LastTick() time.Time { return f.tick }

// start runs a server until the test ends and returns a function that fetches
// a page.
func start(t *testing.T, f *fakeState, r metrics.Registry, g *logs.Ring) func(path string) (int, string) {
	t.Helper()
	s, err := NewServer(Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), State: f, Registry: r, Events: g,
		Now: func() time.Time { return base },
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Start(context.Background()) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if err := s.Stop(context.Background()); err != nil {
			t.Errorf("Stop: %v", err)
		}
		if err := <-done; err != nil {
			t.Errorf("Start after Stop: %v", err)
		}
	})
	return func(path string) (int, string) {
		resp, err := http.Get("http://" + s.Address().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(b)
	}
}

func wantPage(t *testing.T, get func(string) (int, string), path string, code int, body string) {
	t.Helper()
	c, b := get(path)
	if c != code || !strings.Contains(b, body) {
		t.Errorf("%s: %d %q, want %d with %q", path, c, b, code, body)
	}
}

// Guards against a balancer that gets flows which it must refuse: without a
// configuration, before membership settled, or while it leaves.
func TestReady(t *testing.T) {
	ready := Status{Revision: 1, Settled: true}
	for _, tc := range []struct {
		name   string
		change func(*Status)
		code   int
		body   string
	}{
		{"ready", func(*Status) {}, 200, "ready=true"},
		{"no configuration", func(s *Status) { s.Revision = 0 }, 503, "reason=no_config"},
		{"unsettled", func(s *Status) { s.Settled = false }, 503, "reason=membership_unsettled"},
		{"leaving", func(s *Status) { s.Leaving = true }, 503, "reason=leaving"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeState{status: ready}
			tc.change(&f.status)
			wantPage(t, start(t, f, nil, nil), "/readyz", tc.code, tc.body)
		})
	}
}

// Guards against a stuck engine that reports itself healthy.
func TestHealth(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
		code int
		body string
	}{
		{"ticking", stuckAfter, 200, "healthy=true"},
		{"stuck", stuckAfter + 1, 503, "reason=no_tick"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wantPage(t, start(t, &fakeState{tick: base.Add(-tc.age)}, nil, nil), "/healthz", tc.code, tc.body)
		})
	}
}

// Guards against the pages of one process being reachable on the service
// addresses of customers.
func TestNewServerRejectsWildcard(t *testing.T) {
	for _, a := range []netip.AddrPort{{}, netip.MustParseAddrPort("0.0.0.0:0"), netip.MustParseAddrPort("[::]:0")} {
		t.Run(a.String(), func(t *testing.T) {
			s, err := NewServer(Options{Address: a})
			if fault.KindOf(err) != fault.KindInvalid {
				t.Errorf("NewServer = %v, %v; want an error of kind invalid", s, err)
			}
		})
	}
}

// Guards against metric names that other tools cannot read, two metrics hiding
// each other, and one metric without a value taking the page down.
func TestMetrics(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.NewRegisteredCounter("openFlows", r).Inc(3)
	metrics.NewRegisteredCounter("open-flows", r).Inc(4)
	metrics.NewRegisteredGaugeFloat64("HTTPLoad", r).Update(math.NaN())
	metrics.NewRegisteredTimer("answer.time", r).Update(time.Millisecond)
	get := start(t, &fakeState{}, r, nil)

	_, body := get("/metrics")
	var all map[string]map[string]any
	if err := json.Unmarshal([]byte(body), &all); err != nil {
		t.Fatalf("%v in %q", err, body)
	}
	snake := regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	for name, fields := range all {
		for k := range fields {
			if !snake.MatchString(name) || !snake.MatchString(k) {
				t.Errorf("%s %s is not in snake case", name, k)
			}
		}
	}
	for _, line := range []string{
		"metric=open_flows count=4\n", "metric=open_flows_2 count=3\n", "metric=http_load value=\"\"\n", "metric=answer_time count=1 max=1000000 ",
	} {
		wantPage(t, get, "/metrics?format=text", 200, line)
	}
}

// Guards against a poller that gets events twice or misses some, and against
// status keys that differ from the documented ones.
func TestStatusAndEvents(t *testing.T) {
	l := logs.NewLogger(logs.Options{Process: "b1", Now: func() time.Time { return base }})
	l.Write(effect.Event{Name: "first"})
	l.Write(effect.Event{Name: "second"})
	f := &fakeState{status: Status{Name: "b1", Upstreams: []Upstream{{Name: "u1", Draining: true}}}}
	get := start(t, f, nil, l.Ring())

	wantPage(t, get, "/status", 200, `"data_centre"`)
	wantPage(t, get, "/status", 200, `"draining": true`)
	wantPage(t, get, "/status", 200, `"members": []`)
	wantPage(t, get, "/events?after=yesterday", 400, "write it as in")
	_, body := get("/events?after=" + l.Ring().After(clock.Stamp{})[0].At.String())
	if want := l.Ring().After(clock.Stamp{})[1].String() + "\n"; body != want {
		t.Errorf("got %q, want %q", body, want)
	}
}
