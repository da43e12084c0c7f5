package dgram

import (
	"net/netip"
	"sync/atomic"
	"time"

	"egretdock/core/fault"
	"egretdock/core/input"
	"egretdock/io/gossip"
	"egretdock/io/stall"
	"egretdock/io/wire"
)

// The first byte of a datagram on the peer socket is its kind.
const (
	peerRelay  = 'r'
	peerGossip = 'g'
)

// Counters count datagrams and bytes at the sockets that the engine does not see.
type Counters struct {
	// Malformed counts datagrams that could not be decoded.
	Malformed atomic.Int64
	// Unauthentic counts datagrams with a wrong token or tag, and replayed ones.
	Unauthentic atomic.Int64
	// SendFailures counts datagrams that could not be sent.
	SendFailures atomic.Int64
	// GossipBytes counts the bytes of authentic membership messages in both directions,
	// without UDP and IP headers.
	GossipBytes atomic.Int64
	// GossipMessages counts membership messages sent.
	GossipMessages atomic.Int64
}

// countError counts a datagram that was rejected with err.
func (c *Counters) countError(err error) {
	if fault.KindOf(err) == fault.KindUnauthentic {
		c.Unauthentic.Add(1)
		return
	}
	c.Malformed.Add(1)
}

// ClientSource reads packets from the client-facing socket.
type ClientSource struct {
	reader   *reader
	decoder  wire.Decoder
	sealer   *wire.Sealer
	stalls   *stall.Meter
	counters *Counters
	in       input.FromClient
}

// NewClientSource returns a source for one worker. stalls measures how long packets
// may have waited; nil measures nothing.
func NewClientSource(s *Socket, sealer *wire.Sealer, stalls *stall.Meter, counters *Counters) *ClientSource {
	return &ClientSource{reader: newReader(s, MaxDatagramSize, counters), sealer: sealer, stalls: stalls, counters: counters}
}

// Read implements worker.Source.
func (c *ClientSource) Read(fn func(input.Input)) error {
	return c.reader.read(func(source netip.AddrPort, b []byte) {
		if err := c.decoder.DecodeFromClient(b, source, c.sealer, &c.in.Packet); err != nil {
			c.counters.countError(err)
			return
		}
		c.in.Waited = c.reader.waited(c.stalls)
		fn(&c.in)
	})
}

// UpstreamSource reads packets from the upstream-facing socket.
type UpstreamSource struct {
	reader   *reader
	decoder  wire.Decoder
	counters *Counters
	in       input.FromUpstream
}

// NewUpstreamSource returns a source for one worker.
func NewUpstreamSource(s *Socket, counters *Counters) *UpstreamSource {
	return &UpstreamSource{reader: newReader(s, MaxDatagramSize, counters), counters: counters}
}

// Read implements worker.Source.
func (u *UpstreamSource) Read(fn func(input.Input)) error {
	return u.reader.read(func(source netip.AddrPort, b []byte) {
		if err := u.decoder.Decode(b, &u.in.Packet); err != nil {
			u.counters.countError(err)
			return
		}
		u.in.Source = source
		fn(&u.in)
	})
}

// PeerSource reads relays and gossip from the peer socket.
type PeerSource struct {
	reader   *reader
	decoder  wire.Decoder
	sealer   *wire.Sealer
	opener   *gossip.Opener
	opts     PeerOptions
	counters *Counters
	relay    input.FromPeer
}

// PeerOptions configure a PeerSource.
type PeerOptions struct {
	Now func() time.Time
	// Accept reports whether datagrams from a source are accepted; nil accepts
	// all. Emulators use it to partition data centres from each other.
	Accept func(source netip.Addr) bool
	// Stalls measures how long relays may have waited; nil measures nothing.
	Stalls *stall.Meter
}

// NewPeerSource returns a source for one worker. The opener may be shared.
func NewPeerSource(s *Socket, sealer *wire.Sealer, opener *gossip.Opener, opts PeerOptions, counters *Counters) *PeerSource {
	return &PeerSource{reader: newReader(s, maxPeerDatagramSize, counters), sealer: sealer, opener: opener, opts: opts, counters: counters}
}

// Read implements worker.Source.
func (p *PeerSource) Read(fn func(input.Input)) error {
	return p.reader.read(func(source netip.AddrPort, b []byte) {
		if p.opts.Accept != nil && !p.opts.Accept(source.Addr()) {
			return
		}
		in, err := p.decode(b)
		if err != nil {
			p.counters.countError(err)
			return
		}
		fn(in)
	})
}

func (p *PeerSource) decode(b []byte) (input.Input, error) {
	if len(b) == 0 {
		return nil, wire.ErrMalformed
	}
	switch b[0] {
	case peerRelay:
		p.relay.Waited = p.reader.waited(p.opts.Stalls)
		return &p.relay, p.decoder.DecodeRelay(b[1:], p.sealer, &p.relay.Relay)
	case peerGossip:
		m, err := p.opener.Open(p.opts.Now(), b[1:])
		if err != nil {
			return nil, err
		}
		p.counters.GossipBytes.Add(int64(len(b)))
		return &input.Gossip{Message: m}, nil
	default:
		return nil, wire.ErrMalformed
	}
}
