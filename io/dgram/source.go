package dgram

import (
	"net/netip"
	"sync/atomic"
	"time"

	"egretdock/core/fault"
	"egretdock/core/input"
	"egretdock/io/gossip"
	"egretdock/io/wire"
)

// Kinds of datagrams on the peer socket, in their first byte.
const (
	peerRelay  = 'r'
	peerGossip = 'g'
)

// Counters count what the sockets see beside the engine.
type Counters struct {
	// Malformed counts datagrams that could not be decoded.
	Malformed atomic.Int64
	// Unauthentic counts forged or damaged tokens and tags.
	Unauthentic atomic.Int64
	// SendFailures counts datagrams that the kernel did not take.
	SendFailures atomic.Int64
	// GossipBytes counts the payload of membership messages in both
	// directions; each has a UDP and an IP header besides.
	GossipBytes atomic.Int64
	// GossipMessages counts membership messages sent.
	GossipMessages atomic.Int64
}

func (c *Counters) count(err error) {
	if fault.KindOf(err) == fault.KindUnauthentic {
		c.Unauthentic.Add(1)
		return
	}
	c.Malformed.Add(1)
}

// ClientSource reads packets from the client-facing socket.
type ClientSource struct {
	r      *reader
	d      wire.Decoder
	sealer *wire.Sealer
	count  *Counters
	in     input.FromClient
}

// NewClientSource returns a source for one worker.
func NewClientSource(s *Socket, sealer *wire.Sealer, count *Counters) *ClientSource {
	return &ClientSource{r: newReader(s, MaxDatagramSize, count), sealer: sealer, count: count}
}

// Read implements worker.Source.
func (c *ClientSource) Read(fn func(input.Input)) error {
	return c.r.read(func(source netip.AddrPort, b []byte) {
		if err := c.d.DecodeFromClient(b, source, c.sealer, &c.in.Packet); err != nil {
			c.count.count(err)
			return
		}
		fn(&c.in)
	})
}

// UpstreamSource reads packets from the upstream-facing socket.
type UpstreamSource struct {
	r     *reader
	d     wire.Decoder
	count *Counters
	in    input.FromUpstream
}

// NewUpstreamSource returns a source for one worker.
func NewUpstreamSource(s *Socket, count *Counters) *UpstreamSource {
	return &UpstreamSource{r: newReader(s, MaxDatagramSize, count), count: count}
}

// Read implements worker.Source.
func (u *UpstreamSource) Read(fn func(input.Input)) error {
	return u.r.read(func(source netip.AddrPort, b []byte) {
		if err := u.d.Decode(b, &u.in.Packet); err != nil {
			u.count.count(err)
			return
		}
		u.in.Source = source
		fn(&u.in)
	})
}

// PeerSource reads relays and gossip from the peer socket.
type PeerSource struct {
	r      *reader
	d      wire.Decoder
	sealer *wire.Sealer
	opener *gossip.Opener
	opts   PeerOptions
	count  *Counters
	relay  input.FromPeer
}

// PeerOptions are what a peer source needs from its process.
type PeerOptions struct {
	Now func() time.Time
	// Accept reports whether datagrams of a source are taken; nil takes all.
	// Emulators use it to cut data centres off from each other.
	Accept func(source netip.Addr) bool
}

// NewPeerSource returns a source for one worker. The opener may be shared.
func NewPeerSource(s *Socket, sealer *wire.Sealer, opener *gossip.Opener, opts PeerOptions, count *Counters) *PeerSource {
	return &PeerSource{r: newReader(s, maxPeer, count), sealer: sealer, opener: opener, opts: opts, count: count}
}

// Read implements worker.Source.
func (p *PeerSource) Read(fn func(input.Input)) error {
	return p.r.read(func(source netip.AddrPort, b []byte) {
		if p.opts.Accept != nil && !p.opts.Accept(source.Addr()) {
			return
		}
		in, err := p.decode(b)
		if err != nil {
			p.count.count(err)
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
		return &p.relay, p.d.DecodeRelay(b[1:], p.sealer, &p.relay.Relay)
	case peerGossip:
		m, err := p.opener.Open(p.opts.Now(), b[1:])
		p.count.GossipBytes.Add(int64(len(b)))
		return &input.Gossip{Message: m}, err
	default:
		return nil, wire.ErrMalformed
	}
}
