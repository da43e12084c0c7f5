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
	// successLines and failureLines are the limits of log lines a second about
	// flows and requests. The metrics count all events. A balancer handles about
	// 30 requests a second today.
	successLines = 100
	failureLines = 200
	// statusLines a second and statusBurst are the limits of log lines about the
	// status of instances and balancers. Hundreds change at once when the store
	// returns; the lines for 3,000 would take a small host one second of processor
	// time.
	statusLines, statusBurst = 100, 300
	// omittedInterval is the interval of the log line that counts omitted lines.
	omittedInterval = time.Second
	// sampleSize and sampleAlpha are the usual values of go-metrics. They weight a
	// sample like a load average of the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// stats updates the metrics and limits the rate of log lines.
type stats struct {
	registry              metrics.Registry
	delivered, resets     metrics.Counter
	handshake, storeCalls metrics.Histogram
	storeFailed           metrics.Counter
	routesAge, listAge    metrics.Histogram
	// The limiters of log lines and the numbers of lines omitted by them.
	success, failure               *rate.Limiter
	status                         *rate.Limiter
	successOmitted, failureOmitted atomic.Uint64
	statusOmitted                  atomic.Uint64
	app                            *App
	// omittedLogged is the time in Unix milliseconds at which omitted lines were
	// last counted in the log.
	omittedLogged atomic.Int64
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
		status:      rate.NewLimiter(statusLines, statusBurst),
		app:         a,
	}
	gauge("packets_received", func() int64 { return int64(a.clientPackets.Load()) })
	gauge("datagrams_malformed", a.counters.Malformed.Load)
	gauge("datagrams_unauthentic", a.counters.Unauthentic.Load)
	gauge("datagrams_failed", a.counters.SendFailures.Load)
	gauge("lines_dropped", func() int64 { return int64(a.asyncLog.Dropped()) })
	gauge("flows_tracked", func() int64 { return int64(a.FlowCount()) })
	gauge("routes_version", func() int64 { return int64(a.engine.Tables.Direct().Routing.Version) })
	gauge("routes_revision", func() int64 { return int64(a.engine.Tables.Direct().Routing.Position.Revision) })
	gauge("list_revision", func() int64 { return int64(a.engine.Tables.Direct().Roster.Position.Revision) })
	gauge("store_era", func() int64 { return int64(a.engine.Tables.Direct().Roster.Position.Era) })
	gauge("instances_known", func() int64 { return int64(len(a.engine.Tables.Direct().Backends())) })
	return s
}

// observeStoreCall records the duration and the outcome of a store call.
func (s *stats) observeStoreCall(d time.Duration, ok bool) {
	s.storeCalls.Update(d.Microseconds())
	if !ok {
		s.storeFailed.Inc(1)
	}
}

// countEvent counts an event under its name and records its durations.
func (s *stats) countEvent(e *effect.Event) {
	metrics.GetOrRegisterCounter("event_"+e.Name, s.registry).Inc(1)
	if e.Name == "flow_opened" && e.Elapsed > 0 {
		s.handshake.Update(e.Elapsed.Microseconds())
	}
	if e.Name == "flow_placed" {
		s.routesAge.Update(e.Age.Microseconds())
		s.listAge.Update(e.ListAge.Microseconds())
	}
}

// shouldLog counts an event of the engine and reports whether to log it.
func (s *stats) shouldLog(e *effect.Event) bool {
	s.countEvent(e)
	switch e.Name {
	case "flow_placed", "flow_opened", "request_carried":
		return allow(s.success, &s.successOmitted)
	case "packet_dropped", "packet_repeated", "flow_reset", "flow_hedged", "flow_retried", "answer_overdue":
		return allow(s.failure, &s.failureOmitted)
	case "member_joined", "member_left", "member_returned":
		return allow(s.status, &s.statusOmitted)
	}
	if strings.HasPrefix(e.Name, "instance_") {
		return allow(s.status, &s.statusOmitted)
	}
	return true
}

// allow reports whether the limiter allows a line now. Otherwise it counts the
// line in omitted.
func allow(limiter *rate.Limiter, omitted *atomic.Uint64) bool {
	if limiter.Allow() {
		return true
	}
	omitted.Add(1)
	return false
}

// logOmitted logs how many lines were omitted, at most once in omittedInterval.
func (s *stats) logOmitted(log func(effect.Event)) {
	now := time.Now()
	if now.UnixMilli()-s.omittedLogged.Load() < omittedInterval.Milliseconds() {
		return
	}
	s.omittedLogged.Store(now.UnixMilli())
	success, failure, status := s.successOmitted.Swap(0), s.failureOmitted.Swap(0), s.statusOmitted.Swap(0)
	if success+failure+status > 0 {
		log(effect.Event{Name: "lines_omitted", Detail: fmt.Sprintf("success=%d failure=%d belief=%d", success, failure, status)})
	}
}

// countPackets returns a sink that counts deliveries and resets and passes all
// effects on to next.
func (s *stats) countPackets(next worker.Sink) worker.Sink {
	return &countingSink{stats: s, Sink: next}
}

type countingSink struct {
	worker.Sink
	stats *stats
}

// Put implements worker.Sink.
func (c *countingSink) Put(e effect.Effect) {
	switch e.(type) {
	case *effect.Deliver:
		c.stats.delivered.Inc(1)
		c.stats.app.clientPackets.Add(1)
	case *effect.ResetFlow:
		c.stats.resets.Inc(1)
		c.stats.app.clientPackets.Add(1)
	default:
	}
	c.Sink.Put(e)
}
