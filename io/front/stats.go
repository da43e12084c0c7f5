package front

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"egretdock/core/effect"
	"egretdock/core/worker"
)

const (
	// successLines and failureLines bound the lines a second about requests. All
	// are counted; a balancer sees about 30 requests a second today.
	successLines = 100
	failureLines = 200
	// beliefLines and beliefBurst bound the lines about instances and balancers. A
	// start lists all of them: 150 today, and with 3,000 the lines would take a
	// small host a second of its processor time before the first packet.
	beliefLines, beliefBurst = 100, 300
	// omittedEvery is the interval of the line about lines left out.
	omittedEvery = time.Second
	// sampleSize and sampleAlpha are those of go-metrics for the load average of
	// the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// stats counts what the process does and limits the lines about requests.
type stats struct {
	registry               metrics.Registry
	delivered, resets      metrics.Counter
	handshake, storeCalls  metrics.Histogram
	storeFailed            metrics.Counter
	routesAge, listAge     metrics.Histogram
	success, failure       *rate.Limiter
	belief                 *rate.Limiter
	successCut, failureCut atomic.Uint64
	beliefCut              atomic.Uint64
	app                    *App
	reported               atomic.Int64
}

func newStats(r metrics.Registry, a *App) *stats {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	gauge := func(name string, fn func() int64) { r.GetOrRegister(name, metrics.NewFunctionalGauge(fn)) }
	s := &stats{
		registry:    r,
		delivered:   metrics.GetOrRegisterCounter("packets_delivered", r),
		resets:      metrics.GetOrRegisterCounter("flows_reset", r),
		storeFailed: metrics.GetOrRegisterCounter("store_calls_failed", r),
		handshake:   histogram("handshake_us"),
		storeCalls:  histogram("store_call_us"),
		routesAge:   histogram("routes_age_us"),
		listAge:     histogram("list_age_us"),
		success:     rate.NewLimiter(successLines, successLines),
		failure:     rate.NewLimiter(failureLines, failureLines),
		belief:      rate.NewLimiter(beliefLines, beliefBurst),
		app:         a,
	}
	gauge("packets_received", func() int64 { return int64(a.packets.Load()) })
	gauge("datagrams_malformed", a.counters.Malformed.Load)
	gauge("datagrams_failed", a.counters.SendFailures.Load)
	gauge("lines_dropped", func() int64 { return int64(a.async.Dropped()) })
	gauge("flows_tracked", func() int64 { return int64(a.Flows()) })
	gauge("routes_version", func() int64 { return int64(a.engine.Tables.Direct().Routing.Version) })
	gauge("routes_revision", func() int64 { return int64(a.engine.Tables.Direct().Routing.Revision) })
	gauge("list_revision", func() int64 { return int64(a.engine.Tables.Direct().Roster.Revision) })
	gauge("instances_known", func() int64 { return int64(len(a.engine.Tables.Direct().Backends())) })
	return s
}

// call notes a call of the store.
func (s *stats) call(d time.Duration, ok bool) {
	s.storeCalls.Update(d.Microseconds())
	if !ok {
		s.storeFailed.Inc(1)
	}
}

// observe counts an event by its name and its figures.
func (s *stats) observe(e *effect.Event) {
	metrics.GetOrRegisterCounter("event_"+e.Name, s.registry).Inc(1)
	if e.Name == "flow_opened" && e.Elapsed > 0 {
		s.handshake.Update(e.Elapsed.Microseconds())
	}
	if e.Name == "flow_placed" {
		s.routesAge.Update(e.Age.Microseconds())
		s.listAge.Update(e.ListAge.Microseconds())
	}
}

// reportable reports whether an event of the engine is logged.
func (s *stats) reportable(e *effect.Event) bool {
	s.observe(e)
	switch e.Name {
	case "flow_placed", "flow_opened", "request_carried":
		return allow(s.success, &s.successCut)
	case "packet_dropped", "packet_repeated", "flow_reset", "flow_hedged", "flow_retried", "answer_overdue":
		return allow(s.failure, &s.failureCut)
	case "member_joined", "member_left":
		return allow(s.belief, &s.beliefCut)
	}
	if strings.HasPrefix(e.Name, "instance_") {
		return allow(s.belief, &s.beliefCut)
	}
	return true
}

// allow takes a line from a budget, or counts it as left out.
func allow(budget *rate.Limiter, cut *atomic.Uint64) bool {
	if budget.Allow() {
		return true
	}
	cut.Add(1)
	return false
}

// reportOmitted logs how many lines were left out, at most once a second.
func (s *stats) reportOmitted(log func(effect.Event)) {
	now := time.Now()
	if now.UnixMilli()-s.reported.Load() < omittedEvery.Milliseconds() {
		return
	}
	s.reported.Store(now.UnixMilli())
	ok, failed, belief := s.successCut.Swap(0), s.failureCut.Swap(0), s.beliefCut.Swap(0)
	if ok+failed+belief > 0 {
		log(effect.Event{Name: "lines_omitted", Detail: fmt.Sprintf("success=%d failure=%d belief=%d", ok, failed, belief)})
	}
}

// count returns a sink that counts what it passes on to next.
func (s *stats) count(next worker.Sink) worker.Sink { return &counted{stats: s, Sink: next} }

type counted struct {
	worker.Sink
	stats *stats
}

// Put implements worker.Sink.
func (c *counted) Put(e effect.Effect) {
	switch e.(type) {
	case *effect.Deliver:
		c.stats.delivered.Inc(1)
		c.stats.app.packets.Add(1)
	case *effect.ResetFlow:
		c.stats.resets.Inc(1)
		c.stats.app.packets.Add(1)
	default:
	}
	c.Sink.Put(e)
}
