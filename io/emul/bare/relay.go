// Package bare is a baseline for comparison: balancers that only choose an
// upstream for each flow and relay packets. They have no queues and no limits
// and do not communicate with each other.
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

// Hash places each packet by the flow identifier over the current upstreams,
// so that any balancer finds the flow while the set of upstreams is unchanged.
type Hash struct{}

// Random places each opening at random and finds later packets by the route
// token that the client echoes.
type Random struct{}

func (Hash) placement()   {}
func (Random) placement() {}

// Relay is one bare balancer.
type Relay struct {
	cfg     daemon.Config
	place   Placement
	self    model.Balancer
	sockets dgram.Sockets
	sealers [2]*wire.Sealer
	count   dgram.Counters
	config  atomic.Pointer[model.Config]
}

// New binds the sockets of a bare balancer.
func New(cfg daemon.Config, place Placement) (*Relay, error) {
	// A sealer is not safe for concurrent use, so each worker has its own.
	r := &Relay{cfg: cfg, place: place, self: cfg.Self}
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

// Self returns the balancer.
func (r *Relay) Self() model.Balancer { return r.self }

// ClientAddr returns the address that clients send to.
func (r *Relay) ClientAddr() netip.AddrPort { return r.sockets.Clients.Addr() }

// Revision returns the configuration revision in force.
func (r *Relay) Revision() uint64 { return r.config.Load().Revision }

// Run serves until ctx is cancelled.
func (r *Relay) Run(ctx context.Context, inputs <-chan input.Input) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.work(ctx, dgram.NewClientSource(r.sockets.Clients, r.sealers[0], &r.count), 0) })
	g.Go(func() error { return r.work(ctx, dgram.NewUpstreamSource(r.sockets.Upstreams, &r.count), 1) })
	g.Go(func() error {
		defer r.sockets.Close()
		for {
			select {
			case <-ctx.Done():
				return nil
			case in := <-inputs:
				r.control(in)
			}
		}
	})
	return g.Wait()
}

// source is what both socket readers are.
type source interface {
	Read(fn func(input.Input)) error
}

// work is one worker; index selects its sealer and random source.
func (r *Relay) work(ctx context.Context, src source, index uint64) error {
	out := dgram.NewSink(r.sockets, dgram.Sealers{Wire: r.sealers[index]}, &r.count, func(effect.Effect) {})
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

// control takes a newer configuration; everything else is ignored.
func (r *Relay) control(in input.Input) {
	c, ok := in.(*input.ConfigReceived)
	if !ok || c.Config.Revision <= r.Revision() {
		return
	}
	r.config.Store(&c.Config)
	if r.cfg.OnEvent != nil {
		r.cfg.OnEvent(&effect.Event{Name: "config_in_force", Revision: c.Config.Revision})
	}
}

// relay returns what is done with a packet, or nil.
func (r *Relay) relay(in input.Input, rnd *rand.Rand) effect.Effect {
	switch in := in.(type) {
	case *input.FromClient:
		return r.fromClient(&in.Packet, rnd)
	case *input.FromUpstream:
		p := in.Packet
		p.Route.Endpoint = in.Source
		if _, hashed := r.place.(Hash); hashed {
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
	switch r.place.(type) {
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

func (r *Relay) upstreams(address netip.Addr) []model.Upstream {
	cfg := r.config.Load()
	for _, name := range cfg.CustomerNames() {
		if p, ok := cfg.Params(name); ok && p.Address == address {
			return p.Upstreams
		}
	}
	return nil
}
