package dgram

import (
	"net/netip"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/packet"
	"egretdock/io/gossip"
	"egretdock/platform"
)

// Flows reads packets of opaque flows from the client-facing socket.
type Flows struct {
	r       *reader
	count   *Counters
	segment packet.Segment
	open    input.FlowOpen
	data    input.FlowContinue
	end     input.FlowEnd
}

// NewFlows returns a source for one worker.
func NewFlows(s *Socket, count *Counters) *Flows {
	return &Flows{r: newReader(s, platform.MaxDatagramLen, count), count: count}
}

// Read implements worker.Source.
func (f *Flows) Read(fn func(input.Input)) error {
	return f.r.read(func(_ netip.AddrPort, b []byte) {
		if err := platform.DecodePacket(b, &f.segment); err != nil {
			f.count.count(err)
			return
		}
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

// FlowSink sends the packets of opaque flows and membership messages, and hands
// all other effects on.
type FlowSink struct {
	out, peers *writer
	gossip     *gossip.Sealer
	port       uint16
	count      *Counters
	other      func(effect.Effect)
}

// NewFlowSink returns a sink for one worker. Clients receive at the port number
// of the flows' socket. other receives the effects that are no datagrams.
func NewFlowSink(flows, peers *Socket, sealer *gossip.Sealer, count *Counters, other func(effect.Effect)) *FlowSink {
	return &FlowSink{
		out: newWriter(flows), peers: newWriter(peers), gossip: sealer,
		port: flows.Addr().Port(), count: count, other: other,
	}
}

// Put implements worker.Sink.
func (s *FlowSink) Put(e effect.Effect) {
	switch e := e.(type) {
	case *effect.Deliver:
		s.out.add(e.To, func(b []byte) []byte { return platform.AppendDelivery(b, e.Instance, e.Token, e.Raw) })
	case *effect.ResetFlow:
		to := netip.AddrPortFrom(e.Flow.Client.Addr(), s.port)
		s.out.add(to, func(b []byte) []byte { return platform.AppendReset(b, e.Flow, e.Seq) })
	case *effect.Gossip:
		sendGossip(s.peers, s.gossip, s.count, e)
	default:
		s.other(e)
	}
}

// Flush implements worker.Sink.
func (s *FlowSink) Flush() {
	flushAll(s.count, s.out, s.peers)
}
