package daemon

import (
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"egretdock/core/effect"
	"egretdock/core/worker"
	"egretdock/io/dgram"
)

// stats counts the effects of all workers. It also limits the rate at which
// events about dropped packets are logged, so that a flood of bad packets does
// not flood the log.
type stats struct {
	toUpstreams, toClients, toPeers, events metrics.Counter
	dropEvents                              *rate.Limiter
}

// maxDropEventsPerSecond bounds the events about dropped packets that are
// logged. The metric events counts all of them.
const maxDropEventsPerSecond = 20

func newStats(r metrics.Registry, c *dgram.Counters) *stats {
	if r == nil {
		r = metrics.NewRegistry()
	}
	r.GetOrRegister("datagrams_malformed", metrics.NewFunctionalGauge(c.Malformed.Load))
	r.GetOrRegister("datagrams_unauthentic", metrics.NewFunctionalGauge(c.Unauthentic.Load))
	r.GetOrRegister("datagrams_failed", metrics.NewFunctionalGauge(c.SendFailures.Load))
	r.GetOrRegister("gossip_messages_sent", metrics.NewFunctionalGauge(c.GossipMessages.Load))
	r.GetOrRegister("gossip_bytes", metrics.NewFunctionalGauge(c.GossipBytes.Load))
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &stats{
		toUpstreams: counter("packets_to_upstreams"),
		toClients:   counter("packets_to_clients"),
		toPeers:     counter("packets_to_peers"),
		events:      counter("events"),
		dropEvents:  rate.NewLimiter(maxDropEventsPerSecond, maxDropEventsPerSecond),
	}
}

// shouldLog reports whether an event is logged.
func (s *stats) shouldLog(e *effect.Event) bool {
	switch e.Name {
	case "packet_dropped", "route_refused", "flow_not_found":
		return s.dropEvents.Allow()
	default:
		return true
	}
}

// countEffects returns a sink that counts effects and passes them to next.
func (s *stats) countEffects(next worker.Sink) worker.Sink {
	return &countingSink{stats: s, Sink: next}
}

type countingSink struct {
	worker.Sink
	stats *stats
}

// Put implements worker.Sink.
func (c *countingSink) Put(e effect.Effect) {
	switch e.(type) {
	case *effect.ToUpstream:
		c.stats.toUpstreams.Inc(1)
	case *effect.ToClient:
		c.stats.toClients.Inc(1)
	case *effect.ToPeer:
		c.stats.toPeers.Inc(1)
	case *effect.Event:
		c.stats.events.Inc(1)
	case *effect.Gossip, *effect.Poll, *effect.Fetch, *effect.Deliver, *effect.ResetFlow, *effect.Wake:
	}
	c.Sink.Put(e)
}
