package dgram

import (
	"net/netip"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/packet"
	"egretdock/io/gossip"
	"egretdock/io/stall"
	"egretdock/platform"
)

// FlowSource reads packets of opaque flows from the client-facing socket.
type FlowSource struct {
	reader   *reader
	stalls   *stall.Meter
	counters *Counters
	segment  packet.Segment
	open     input.FlowOpen
	data     input.FlowContinue
	end      input.FlowEnd
}

// NewFlowSource returns a source for one worker. stalls measures how long packets
// may have waited.
func NewFlowSource(s *Socket, stalls *stall.Meter, counters *Counters) *FlowSource {
	return &FlowSource{reader: newReader(s, platform.MaxDatagramLen, counters), stalls: stalls, counters: counters}
}

// Read implements worker.Source.
func (f *FlowSource) Read(fn func(input.Input)) error {
	return f.reader.read(func(_ netip.AddrPort, b []byte) {
		if err := platform.DecodePacket(b, &f.segment); err != nil {
			f.counters.countError(err)
			return
		}
		f.segment.Waited = f.reader.waited(f.stalls)
		switch f.segment.Kind {
		case packet.SegmentOpen:
			f.open.Segment = f.segment
			fn(&f.open)
		case packet.SegmentData:
			f.data.Segment = f.segment
			fn(&f.data)
		case packet.SegmentFin, packet.SegmentReset:
			f.end.Segment = f.segment
			fn(&f.end)
		}
	})
}

// FlowSink sends the packets of opaque flows and membership messages. It passes
// all other effects to a function.
type FlowSink struct {
	flows, peers *writer
	gossip       *gossip.Sealer
	port         uint16
	counters     *Counters
	perform      func(effect.Effect)
}

// NewFlowSink returns a sink for one worker. Resets go to the client's IP at the
// port number of the socket flows. perform receives the effects that this sink
// doesn't send.
func NewFlowSink(flows, peers *Socket, sealer *gossip.Sealer, counters *Counters, perform func(effect.Effect)) *FlowSink {
	return &FlowSink{
		flows: newWriter(flows), peers: newWriter(peers), gossip: sealer,
		port: flows.Addr().Port(), counters: counters, perform: perform,
	}
}

// Put implements worker.Sink.
func (s *FlowSink) Put(e effect.Effect) {
	switch e := e.(type) {
	case *effect.Deliver:
		s.flows.add(e.To, func(b []byte) []byte { return platform.AppendDelivery(b, e.Instance, e.Token, e.Raw) })
	case *effect.ResetFlow:
		to := netip.AddrPortFrom(e.Flow.Client.Addr(), s.port)
		s.flows.add(to, func(b []byte) []byte { return platform.AppendReset(b, e.Flow, e.Seq) })
	case *effect.Gossip:
		sendGossip(s.peers, s.gossip, s.counters, e)
	default:
		s.perform(e)
	}
}

// Flush implements worker.Sink.
func (s *FlowSink) Flush() {
	flushAll(s.counters, s.flows, s.peers)
}
