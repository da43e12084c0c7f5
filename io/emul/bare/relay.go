// Package bare is a baseline for comparison: balancers that only choose an
// upstream for each flow and relay packets. They have no queues, limits or
// membership.
package bare

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"egretdock/core/effect"
	"egretdock/core/input"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/io/daemon"
	"egretdock/io/dgram"
	"egretdock/io/wire"
)

// Placement chooses the upstream of a flow.
//
//sumtype:decl
type Placement interface{ placement() }

// Hash maps the hash of the flow identifier to one of the current upstreams, so
// that all balancers agree while the set of upstreams is unchanged.
type Hash struct{}

// Random chooses a random upstream for each opening and sends later packets by
// the route token that the client echoes.
type Random struct{}

func (Hash) placement()   {}
func (Random) placement() {}

// Relay is one bare balancer.
type Relay struct {
	cfg       daemon.Config
	placement Placement
	self      model.Balancer
	sockets   dgram.Sockets
	sealers   [2]*wire.Sealer
	counters  dgram.Counters
	config    atomic.Pointer[model.Config]
}

// New binds the sockets of a bare balancer.
func New(cfg daemon.Config, placement Placement) (*Relay, error) {
	// A sealer is not safe for concurrent use, so each worker has its own.
	r := &Relay{cfg: cfg, placement: placement, self: cfg.Self}
	var err error
	for i := range r.sealers {
		if r.sealers[i], err = wire.NewSealer(cfg.Key); err != nil {
			return nil, err
		}
	}
	r.config.Store(&model.Config{})
	for _, s := range []struct {
		to *(*dgram.Socket)
		at netip.AddrPort
	}{{&r.sockets.Clients, cfg.ClientListen}, {&r.sockets.Upstreams, cfg.UpstreamListen}, {&r.sockets.Peers, cfg.PeerListen}} {
		if *s.to, err = dgram.Listen(s.at); err != nil {
			r.sockets.Close()
			return nil, err
		}
	}
	r.self.Peer = r.sockets.Peers.Addr()
	return r, nil
}

// Self returns the identity and the peer address of the balancer.
func (r *Relay) Self() model.Balancer { return r.self }

// ClientAddr returns the address that clients send to.
func (r *Relay) ClientAddr() netip.AddrPort { return r.sockets.Clients.Addr() }

// Revision returns the configuration revision in force.
func (r *Relay) Revision() uint64 { return r.config.Load().Revision }

// Run serves until ctx is cancelled.
func (r *Relay) Run(ctx context.Context, inputs <-chan input.Input) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return r.work(ctx, dgram.NewClientSource(r.sockets.Clients, r.sealers[0], nil, &r.counters), 0)
	})
	g.Go(func() error { return r.work(ctx, dgram.NewUpstreamSource(r.sockets.Upstreams, &r.counters), 1) })
	g.Go(func() error {
		defer r.sockets.Close()
		for {
			select {
			case <-ctx.Done():
				return nil
			case in := <-inputs:
				r.handleControl(in)
			}
		}
	})
	return g.Wait()
}

// source reads inputs from a socket.
type source interface {
	Read(fn func(input.Input)) error
}

// work runs one worker; index selects its sealer and random source.
func (r *Relay) work(ctx context.Context, src source, index uint64) error {
	out := dgram.NewSink(r.sockets, dgram.Sealers{Wire: r.sealers[index]}, &r.counters, func(effect.Effect) {})
	rnd := rand.New(rand.NewPCG(r.cfg.Seed^xxhash.Sum64String(r.self.Name), index))
	for {
		err := src.Read(func(in input.Input) {
			if e := r.relay(in, rnd); e != nil {
				out.Put(e)
			}
		})
		out.Flush()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// handleControl applies a newer configuration and ignores other inputs.
func (r *Relay) handleControl(in input.Input) {
	c, ok := in.(*input.ConfigReceived)
	if !ok || c.Config.Revision <= r.Revision() {
		return
	}
	r.config.Store(&c.Config)
	if r.cfg.OnEvent != nil {
		r.cfg.OnEvent(&effect.Event{Name: "config_in_force", Revision: c.Config.Revision})
	}
}

// relay returns the effect that forwards a packet, or nil to drop it.
func (r *Relay) relay(in input.Input, rnd *rand.Rand) effect.Effect {
	switch in := in.(type) {
	case *input.FromClient:
		return r.fromClient(&in.Packet, rnd)
	case *input.FromUpstream:
		p := in.Packet
		p.Route.Endpoint = in.Source
		if _, hashed := r.placement.(Hash); hashed {
			p.Route = packet.Route{}
		}
		return &effect.ToClient{Packet: p}
	default:
		return nil
	}
}

func (r *Relay) fromClient(p *packet.Packet, rnd *rand.Rand) effect.Effect {
	us := r.upstreams(p.Address.Addr())
	if len(us) == 0 {
		return nil
	}
	_, opening := p.Body.(*packet.Open)
	switch r.placement.(type) {
	case Hash:
		var flow [8]byte
		binary.BigEndian.PutUint64(flow[:], p.Flow)
		to := us[xxhash.Sum64(flow[:])%uint64(len(us))].Endpoint
		return &effect.ToUpstream{To: to, Packet: *p}
	case Random:
		if opening {
			return &effect.ToUpstream{To: us[rnd.IntN(len(us))].Endpoint, Packet: *p}
		}
		if p.Route.IsZero() {
			return nil
		}
		return &effect.ToUpstream{To: p.Route.Endpoint, Packet: *p}
	}
	return nil
}

// upstreams returns the upstreams of the customer with a service address.
func (r *Relay) upstreams(address netip.Addr) []model.Upstream {
	cfg := r.config.Load()
	for _, name := range cfg.CustomerNames() {
		if p, ok := cfg.Params(name); ok && p.Address == address {
			return p.Upstreams
		}
	}
	return nil
}
