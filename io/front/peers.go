package front

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"egretdock/core/locks"
	"egretdock/core/model"
	"egretdock/core/query"
	"egretdock/core/worker"
	"egretdock/io/config"
	"egretdock/io/dgram"
	"egretdock/io/gossip"
	"egretdock/io/peers"
	"egretdock/io/wire"
	"egretdock/platform"
)

// peerAuth authenticates the datagrams between balancers.
type peerAuth struct {
	sealer *gossip.Sealer
	opener *gossip.Opener
	// relay opens relayed packets. The socket needs it, although balancers of opaque
	// flows relay none.
	relay *wire.Sealer
}

// fleetKey returns a key that separates the balancers of different deployments.
// The platform provides no secret, so the key doesn't protect against hosts of
// the same network. The platform keeps other hosts out of that network.
func fleetKey(s platform.Settings) config.Key {
	sum := sha256.Sum256([]byte("egretdock fleet of " + s.StoreAddr.String()))
	return config.NewKey(sum[:])
}

// listenPeers binds the sockets for membership messages and for news calls.
func (a *App) listenPeers() error {
	key := fleetKey(a.settings)
	var err error
	if a.peerAuth.opener, err = gossip.NewOpener(key.Bytes()); err != nil {
		return err
	}
	if a.peerAuth.sealer, err = gossip.NewSealer(key.Bytes(), rand.Uint64()); err != nil {
		return err
	}
	if a.peerAuth.relay, err = wire.NewSealer(key.Bytes()); err != nil {
		return err
	}
	if a.peerSocket, err = dgram.Listen(a.settings.PeerAddr); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peers.NewNewsHandler(a, key, time.Now))
	return a.serve(a.settings.PeerAddr, mux)
}

func (a *App) peerSource() worker.Source {
	return dgram.NewPeerSource(a.peerSocket, a.peerAuth.relay, a.peerAuth.opener, dgram.PeerOptions{Now: time.Now}, &a.counters)
}

// seeds returns the seeds of the settings as balancers. They have placeholder
// names, since the name of a seed isn't known until it answers.
func seeds(s platform.Settings) []model.Balancer {
	out := make([]model.Balancer, 0, len(s.Seeds))
	for _, a := range s.Seeds {
		if a != s.PeerAddr {
			out = append(out, model.Balancer{Name: "seed_" + a.String(), DataCentre: s.DataCentre, Peer: a, Fetch: netip.AddrPort{}})
		}
	}
	return out
}

// StoreReaders implements feed.LocalState.
func (a *App) StoreReaders() (readers []model.Balancer, self string) {
	return query.StoreReaders(a.engine.Tables.Members(), a.settings.DataCentre), a.settings.Name
}

// NewsSources implements feed.LocalState.
func (a *App) NewsSources() []model.Balancer {
	return query.NewsSources(a.engine.Tables.Members(), a.engine.Self)
}

// InForce implements feed.LocalState.
func (a *App) InForce() query.InForce { return query.InForceOf(a.engine.Tables.Direct()) }

// WaitNews implements peers.NewsSource.
func (a *App) WaitNews(ctx context.Context, known query.InForce) query.News {
	var h locks.Holder
	for {
		d, changed := a.engine.Tables.WatchDirect(&h)
		n := query.NewsAfter(d, known, time.Now())
		if !n.Empty() {
			return n
		}
		select {
		case <-ctx.Done():
			return query.NewsAfter(a.engine.Tables.Direct(), known, time.Now())
		case <-changed:
		}
	}
}
