package dgram

import (
	"egretdock/core/effect"
	"egretdock/io/gossip"
	"egretdock/io/wire"
)

// Sockets are the three UDP sockets of a balancer. They have different
// addresses, so that a client cannot pose as an upstream or a peer.
type Sockets struct {
	Clients, Upstreams, Peers *Socket
}

// Close closes all sockets.
func (s Sockets) Close() {
	for _, socket := range []*Socket{s.Clients, s.Upstreams, s.Peers} {
		if socket != nil {
			_ = socket.Close()
		}
	}
}

// Sealers authenticate the datagrams of a sink.
type Sealers struct {
	// Wire belongs to one worker.
	Wire *wire.Sealer
	// Gossip is shared by all workers of a process.
	Gossip *gossip.Sealer
}

// Sink encodes effects that are sent to other processes as datagrams. It passes
// all other effects to a function.
type Sink struct {
	clients, upstreams, peers *writer
	sealers                   Sealers
	counters                  *Counters
	perform                   func(effect.Effect)
}

// NewSink returns a sink for one worker. perform receives the effects that are
// not datagrams and may retain them.
func NewSink(s Sockets, sealers Sealers, counters *Counters, perform func(effect.Effect)) *Sink {
	return &Sink{
		clients:   newWriter(s.Clients),
		upstreams: newWriter(s.Upstreams),
		peers:     newWriter(s.Peers),
		sealers:   sealers,
		counters:  counters,
		perform:   perform,
	}
}

// Put implements worker.Sink.
func (s *Sink) Put(e effect.Effect) {
	switch e := e.(type) {
	case *effect.ToUpstream:
		s.upstreams.add(e.To, func(b []byte) []byte { return wire.Append(b, &e.Packet) })
	case *effect.ToClient:
		s.clients.add(e.Packet.Client, func(b []byte) []byte { return s.sealers.Wire.AppendForClient(b, &e.Packet) })
	case *effect.ToPeer:
		s.peers.add(e.To, func(b []byte) []byte { return s.sealers.Wire.AppendRelay(append(b, peerRelay), &e.Relay) })
	case *effect.Gossip:
		sendGossip(s.peers, s.sealers.Gossip, s.counters, e)
	case *effect.Poll, *effect.Fetch, *effect.Event:
		s.perform(e)
	case *effect.Deliver, *effect.ResetFlow, *effect.Wake:
		// Only front ends of opaque flows produce these.
	}
}

// Flush implements worker.Sink.
func (s *Sink) Flush() { flushAll(s.counters, s.clients, s.upstreams, s.peers) }

func sendGossip(w *writer, sealer *gossip.Sealer, counters *Counters, e *effect.Gossip) {
	frame := sealer.Seal(e.Message)
	counters.GossipBytes.Add(int64(len(frame) + 1))
	counters.GossipMessages.Add(1)
	w.add(e.To, func(b []byte) []byte { return append(append(b, peerGossip), frame...) })
}

// flushAll flushes the writers and counts the datagrams that could not be sent.
func flushAll(counters *Counters, ws ...*writer) {
	for _, w := range ws {
		w.flush()
		counters.SendFailures.Add(int64(w.failed - w.reported))
		w.reported = w.failed
	}
}
