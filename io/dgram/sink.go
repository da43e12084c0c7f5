package dgram

import (
	"egretdock/core/effect"
	"egretdock/io/gossip"
	"egretdock/io/wire"
)

// Sockets are the three UDP sockets of a balancer. They have different
// addresses, so that a client cannot pass for an upstream or a peer.
type Sockets struct {
	Clients, Upstreams, Peers *Socket
}

// Close closes all sockets.
func (s Sockets) Close() {
	for _, one := range []*Socket{s.Clients, s.Upstreams, s.Peers} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// Sealers are what a sink needs to make datagrams authentic.
type Sealers struct {
	// Wire belongs to one worker.
	Wire *wire.Sealer
	// Gossip is shared by all workers of a process.
	Gossip *gossip.Sealer
}

// Sink sends packet effects as datagrams and hands all others to Other.
type Sink struct {
	clients, upstreams, peers *writer
	seals                     Sealers
	count                     *Counters
	other                     func(effect.Effect)
}

// NewSink returns a sink for one worker. other receives the effects that are
// not datagrams; they may be kept.
func NewSink(s Sockets, seals Sealers, count *Counters, other func(effect.Effect)) *Sink {
	return &Sink{
		clients:   newWriter(s.Clients),
		upstreams: newWriter(s.Upstreams),
		peers:     newWriter(s.Peers),
		seals:     seals,
		count:     count,
		other:     other,
	}
}

// Put implements worker.Sink.
func (s *Sink) Put(e effect.Effect) {
	switch e := e.(type) {
	case *effect.ToUpstream:
		s.upstreams.add(e.To, func(b []byte) []byte { return wire.Append(b, &e.Packet) })
	case *effect.ToClient:
		s.clients.add(e.Packet.Client, func(b []byte) []byte { return s.seals.Wire.AppendForClient(b, &e.Packet) })
	case *effect.ToPeer:
		s.peers.add(e.To, func(b []byte) []byte { return s.seals.Wire.AppendRelay(append(b, peerRelay), &e.Relay) })
	case *effect.Gossip:
		sendGossip(s.peers, s.seals.Gossip, s.count, e)
	case *effect.Poll, *effect.Fetch, *effect.Event:
		s.other(e)
	case *effect.Deliver, *effect.ResetFlow, *effect.Wake:
		// Only front ends of opaque flows cause these.
	}
}

// Flush implements worker.Sink.
func (s *Sink) Flush() { flushAll(s.count, s.clients, s.upstreams, s.peers) }

func sendGossip(w *writer, sealer *gossip.Sealer, count *Counters, e *effect.Gossip) {
	frame := sealer.Seal(e.Message)
	count.GossipBytes.Add(int64(len(frame) + 1))
	count.GossipMessages.Add(1)
	w.add(e.To, func(b []byte) []byte { return append(append(b, peerGossip), frame...) })
}

// flushAll sends what the writers have collected and counts what failed.
func flushAll(count *Counters, ws ...*writer) {
	for _, w := range ws {
		w.flush()
		count.SendFailures.Add(int64(w.failed - w.reported))
		w.reported = w.failed
	}
}
