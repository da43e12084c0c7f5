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

// gossipSeals make the datagrams between balancers authentic.
type gossipSeals struct {
	sealer *gossip.Sealer
	opener *gossip.Opener
	// wire opens relayed packets, which balancers of opaque flows don't send.
	wire *wire.Sealer
}

// fleetKey keeps the balancers of different deployments apart. The platform
// hands out no secret, so it does not protect against a host of the same
// network, from which the platform keeps others away.
func fleetKey(s platform.Settings) config.Key {
	sum := sha256.Sum256([]byte("egretdock fleet of " + s.Store.String()))
	return config.NewKey(sum[:])
}

// joinPeers binds the sockets for membership and news.
func (a *App) joinPeers() error {
	key := fleetKey(a.settings)
	var err error
	if a.gossip.opener, err = gossip.NewOpener(key.Bytes()); err != nil {
		return err
	}
	if a.gossip.sealer, err = gossip.NewSealer(key.Bytes(), rand.Uint64()); err != nil {
		return err
	}
	if a.gossip.wire, err = wire.NewSealer(key.Bytes()); err != nil {
		return err
	}
	if a.peers, err = dgram.Listen(a.settings.Peer); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peers.NewNewsHandler(a, key, time.Now))
	return a.serve(a.settings.Peer, mux)
}

func (a *App) peerSource() worker.Source {
	return dgram.NewPeerSource(a.peers, a.gossip.wire, a.gossip.opener, dgram.PeerOptions{Now: time.Now}, &a.counters)
}

// seeds are the balancers to look for first; the name of a seed is not known
// until it answers.
func seeds(s platform.Settings) []model.Balancer {
	out := make([]model.Balancer, 0, len(s.Seeds))
	for _, a := range s.Seeds {
		if a != s.Peer {
			out = append(out, model.Balancer{Name: "seed_" + a.String(), DataCentre: s.DataCentre, Peer: a, Fetch: netip.AddrPort{}})
		}
	}
	return out
}

// Reader implements feed.Fleet.
func (a *App) Reader() (model.Balancer, bool) {
	b, ok := query.StoreReader(a.engine.Tables.Members(), a.settings.DataCentre)
	return b, !ok || b.Name == a.settings.Name
}

// Others implements feed.Fleet.
func (a *App) Others() []model.Balancer {
	return query.NewsSources(a.engine.Tables.Members(), a.engine.Self)
}

// Revisions implements feed.Fleet.
func (a *App) Revisions() (routing, list uint64) {
	d := a.engine.Tables.Direct()
	return d.Routing.Revision, d.Roster.Revision
}

// WaitNews implements peers.NewsSource.
func (a *App) WaitNews(ctx context.Context, routing, list uint64) query.News {
	var h locks.Holder
	for {
		d, renewed := a.engine.Tables.WatchDirect(&h)
		n := query.NewsAfter(d, routing, list, time.Now())
		if !n.Empty() {
			return n
		}
		select {
		case <-ctx.Done():
			return query.NewsAfter(a.engine.Tables.Direct(), routing, list, time.Now())
		case <-renewed:
		}
	}
}
