package daemon

import (
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"egretdock/core/effect"
	"egretdock/core/worker"
	"egretdock/io/dgram"
)

// stats counts the effects of all workers and limits the events that a flood
// of bad packets would cause.
type stats struct {
	toUpstreams, toClients, toPeers, gossip, events metrics.Counter
	drops                                           *rate.Limiter
}

// dropsPerSecond bounds the logged events about dropped packets. All of them
// are counted.
const dropsPerSecond = 20

func newStats(r metrics.Registry, c *dgram.Counters) *stats {
	if r == nil {
		r = metrics.NewRegistry()
	}
	r.GetOrRegister("datagrams_malformed", metrics.NewFunctionalGauge(c.Malformed.Load))
	r.GetOrRegister("datagrams_unauthentic", metrics.NewFunctionalGauge(c.Unauthentic.Load))
	r.GetOrRegister("datagrams_failed", metrics.NewFunctionalGauge(c.SendFailures.Load))
	r.GetOrRegister("gossip_bytes", metrics.NewFunctionalGauge(c.GossipBytes.Load))
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &stats{
		toUpstreams: counter("packets_to_upstreams"),
		toClients:   counter("packets_to_clients"),
		toPeers:     counter("packets_to_peers"),
		gossip:      counter("gossip_messages_sent"),
		events:      counter("events"),
		drops:       rate.NewLimiter(dropsPerSecond, dropsPerSecond),
	}
}

// reportable reports whether an event is logged.
func (s *stats) reportable(e *effect.Event) bool {
	switch e.Name {
	case "packet_dropped", "route_refused", "flow_not_found":
		return s.drops.Allow()
	default:
		return true
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
	case *effect.ToUpstream:
		c.stats.toUpstreams.Inc(1)
	case *effect.ToClient:
		c.stats.toClients.Inc(1)
	case *effect.ToPeer:
		c.stats.toPeers.Inc(1)
	case *effect.Gossip:
		c.stats.gossip.Inc(1)
	case *effect.Event:
		c.stats.events.Inc(1)
	case *effect.Poll, *effect.Fetch, *effect.Deliver, *effect.ResetFlow, *effect.Wake:
	}
	c.Sink.Put(e)
}
