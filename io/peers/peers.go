// Package peers transfers configuration, routes and instances between balancers
// over connect-go.
package peers

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/rules"
	"egretdock/io/config"
	"egretdock/io/peers/peerpb"
	"egretdock/io/peers/peerpb/peerpbconnect"
)

// Update brings a configuration from a given revision to that of a peer.
//
//sumtype:decl
type Update interface{ update() }

// Changes are the changes that follow the given revision without a gap; none
// when the peer is not ahead.
type Changes struct{ List []rules.Change }

// Snapshot is the whole configuration of a peer that no longer has all changes
// after the given revision.
type Snapshot struct{ Config model.Config }

func (*Changes) update()  {}
func (*Snapshot) update() {}

// ConfigSource provides the configuration to serve to other balancers.
type ConfigSource interface {
	// UpdateSince returns the update from a revision to the current one.
	UpdateSince(after uint64) Update
}

// maxMessageBytes bounds a message; a snapshot takes 0.2 MB at target size.
const maxMessageBytes = 8 << 20

// NewConfigHandler returns a handler that serves the configuration of src to
// balancers that hold the fleet key, and the path to mount it on.
func NewConfigHandler(src ConfigSource, key config.Key, now func() time.Time) (string, http.Handler) {
	return peerpbconnect.NewConfigServiceHandler(&configServer{src: src},
		connect.WithInterceptors(auth{key: key, now: now}), connect.WithReadMaxBytes(maxMessageBytes))
}

type configServer struct {
	src ConfigSource

	// mu protects the snapshot encoded last and its revision. It is kept
	// because encoding takes tens of milliseconds at target size, and all
	// balancers of a rack may start at once.
	mu       sync.Mutex
	revision uint64
	encoded  []byte
}

// Fetch returns the changes after the caller's revision, or a snapshot.
func (s *configServer) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	out := &peerpb.FetchResponse{}
	switch u := s.src.UpdateSince(req.GetAfter()).(type) {
	case *Changes:
		for _, c := range u.List {
			b, err := config.EncodeChange(c)
			if err != nil {
				return nil, connect.NewError(connect.CodeInternal, err)
			}
			out.Changes = append(out.Changes, b)
		}
	case *Snapshot:
		b, err := s.encodeSnapshot(u.Config)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		out.Snapshot = b
	}
	return out, nil
}

func (s *configServer) encodeSnapshot(cfg model.Config) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encoded != nil && s.revision == cfg.Revision {
		return s.encoded, nil
	}
	b, err := config.EncodeSnapshot(cfg)
	if err == nil {
		s.revision, s.encoded = cfg.Revision, b
	}
	return b, err
}

// Client fetches configuration, routes and instances from other balancers.
type Client struct {
	http *http.Client
	auth auth
}

// NewClient returns a client that signs its calls with the fleet key.
func NewClient(key config.Key, now func() time.Time) *Client {
	return &Client{
		http: &http.Client{Transport: &http.Transport{MaxIdleConns: 4, IdleConnTimeout: 30 * time.Second}},
		auth: auth{key: key, now: now},
	}
}

// Fetch returns the update from revision after to that of the balancer at addr.
func (c *Client) Fetch(ctx context.Context, addr netip.AddrPort, after uint64) (Update, error) {
	call := peerpbconnect.NewConfigServiceClient(c.http, "http://"+addr.String(),
		connect.WithInterceptors(c.auth), connect.WithReadMaxBytes(maxMessageBytes))
	res, err := call.Fetch(ctx, &peerpb.FetchRequest{After: after})
	if connect.CodeOf(err) == connect.CodeUnauthenticated {
		return nil, fault.Wrap(err, fault.KindUnauthentic, "balancer "+addr.String()+" has another fleet key or its clock differs", "set the same fleet key on all balancers and check their clocks")
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, "balancer "+addr.String()+" did not return its configuration", "check the fetch address and the network")
	}
	if len(res.GetSnapshot()) > 0 {
		cfg, err := config.DecodeSnapshot(res.GetSnapshot())
		return &Snapshot{Config: cfg}, err
	}
	out := &Changes{}
	for _, b := range res.GetChanges() {
		change, err := config.DecodeChange(b)
		if err != nil {
			return nil, err
		}
		out.List = append(out.List, change)
	}
	return out, nil
}
