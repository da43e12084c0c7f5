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

// startServer runs a server until the test ends and returns a function that
// fetches a page.
func startServer(t *testing.T, f *fakeState, r metrics.Registry, g *logs.Ring) func(path string) (int, string) {
	t.Helper()
	now := func() time.Time { return base }
	s, err := NewServer(Options{Address: netip.MustParseAddrPort("127.0.0.1:0"), State: f, Registry: r, Events: g, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- s.Start(context.Background()) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if stopped, served := s.Stop(context.Background()), <-done; stopped != nil || served != nil {
			t.Errorf("Stop: %v, Start: %v", stopped, served)
		}
	})
	return func(path string) (int, string) {
		resp, err := http.Get("http://" + s.Address().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var b strings.Builder
		io.Copy(&b, resp.Body)
		return resp.StatusCode, b.String()
	}
}

func assertPage(t *testing.T, get func(string) (int, string), path string, code int, body string) {
	t.Helper()
	if c, b := get(path); c != code || !strings.Contains(b, body) {
		t.Errorf("%s: %d %q, want %d with %q", path, c, b, code, body)
	}
}

// Guards against a balancer that reports itself ready although it refuses new
// flows (without a configuration, before membership has settled, while it
// leaves), and against one that reports itself healthy while its engine is
// stuck.
func TestProbes(t *testing.T) {
	for _, tc := range []struct {
		path string
		fake fakeState
		code int
		body string
	}{
		{"/readyz", fakeState{status: Status{Revision: 1, Settled: true}}, 200, "ready=true"},
		{"/readyz", fakeState{status: Status{Settled: true}}, 503, "reason=no_config"},
		{"/readyz", fakeState{status: Status{Revision: 1}}, 503, "reason=membership_unsettled"},
		{"/readyz", fakeState{status: Status{Revision: 1, Settled: true, Leaving: true}}, 503, "reason=leaving"},
		{"/healthz", fakeState{tick: base.Add(-maxTickAge)}, 200, "healthy=true"},
		{"/healthz", fakeState{tick: base.Add(-maxTickAge - 1)}, 503, "reason=no_tick"},
	} {
		t.Run(tc.path+" "+tc.body, func(t *testing.T) {
			assertPage(t, startServer(t, &tc.fake, nil, nil), tc.path, tc.code, tc.body)
		})
	}
}

// Guards against admin pages that are reachable on the service addresses of
// customers.
func TestNewServerRejectsWildcard(t *testing.T) {
	for _, a := range []netip.AddrPort{{}, netip.MustParseAddrPort("0.0.0.0:0"), netip.MustParseAddrPort("[::]:0")} {
		if s, err := NewServer(Options{Address: a}); fault.KindOf(err) != fault.KindInvalid {
			t.Errorf("NewServer on %v = %v, %v; want an error of kind invalid", a, s, err)
		}
	}
}

// Guards against metric names that are not in snake case, against one metric
// that replaces another of the same converted name, and against a page that
// fails because of one NaN.
func TestMetrics(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.NewRegisteredCounter("openFlows", r).Inc(3)
	metrics.NewRegisteredCounter("open-flows", r).Inc(4)
	metrics.NewRegisteredGaugeFloat64("HTTPLoad", r).Update(math.NaN())
	metrics.NewRegisteredTimer("answer.time", r).Update(time.Millisecond)
	get := startServer(t, &fakeState{}, r, nil)
	_, body := get("/metrics")
	if bad := regexp.MustCompile(`(?m)^ *"([^a-z"][^"]*|[^"]*[^a-z0-9_"][^"]*)":`).FindAllString(body, -1); bad != nil || !json.Valid([]byte(body)) {
		t.Errorf("keys not in snake case: %q; want none and valid JSON in %q", bad, body)
	}
	for _, line := range []string{"open_flows count=4\n", "open_flows_2 count=3\n", "http_load value=\"\"\n", "answer_time count=1 max=1000000 "} {
		assertPage(t, get, "/metrics?format=text", 200, "metric="+line)
	}
}

// Guards against a client that polls /events and gets events twice or misses
// some, and against status keys that differ from the documented ones.
func TestStatusAndEvents(t *testing.T) {
	l := logs.NewLogger(logs.Options{Process: "b1", Now: func() time.Time { return base }})
	l.Write(effect.Event{Name: "first"})
	l.Write(effect.Event{Name: "second"})
	get := startServer(t, &fakeState{status: Status{Upstreams: []Upstream{{Name: "u1", Draining: true}}}}, nil, l.Ring())
	for _, part := range []string{`"data_centre"`, `"draining": true`, `"members": []`} {
		assertPage(t, get, "/status", 200, part)
	}
	assertPage(t, get, "/events?after=yesterday", 400, "write it as in")
	_, body := get("/events?after=" + l.Ring().After(clock.Stamp{})[0].At.String())
	if want := l.Ring().After(clock.Stamp{})[1].String() + "\n"; body != want {
		t.Errorf("got %q, want %q", body, want)
	}
}
