// Package peers transfers configuration between balancers over connect-go.
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

// Update is what a peer has after a revision.
//
//sumtype:decl
type Update interface{ update() }

// Changes follow the revision without a gap; none when the peer is not ahead.
type Changes struct{ List []rules.Change }

// Snapshot is a whole configuration, when the peer no longer has the changes.
type Snapshot struct{ Config model.Config }

func (*Changes) update()  {}
func (*Snapshot) update() {}

// ConfigSource has a configuration to hand out.
type ConfigSource interface {
	Since(after uint64) Update
}

// maxMessage bounds a message; a snapshot has 0.2 MB at target size.
const maxMessage = 8 << 20

// NewConfigHandler serves a source to balancers that hold the fleet key. It returns
// the path to mount it on.
func NewConfigHandler(src ConfigSource, key config.Key, now func() time.Time) (string, http.Handler) {
	return peerpbconnect.NewConfigServiceHandler(&server{src: src},
		connect.WithInterceptors(auth{key: key, now: now}), connect.WithReadMaxBytes(maxMessage))
}

type server struct {
	src ConfigSource

	// mu protects the last snapshot. Encoding takes tens of milliseconds at
	// target size, and all balancers of a rack may start at once.
	mu       sync.Mutex
	revision uint64
	encoded  []byte
}

// Fetch returns what follows a revision.
func (s *server) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	out := &peerpb.FetchResponse{}
	switch u := s.src.Since(req.GetAfter()).(type) {
	case *Changes:
		for _, c := range u.List {
			b, err := config.EncodeChange(c)
			if err != nil {
				return nil, connect.NewError(connect.CodeInternal, err)
			}
			out.Changes = append(out.Changes, b)
		}
	case *Snapshot:
		b, err := s.snapshot(u.Config)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		out.Snapshot = b
	}
	return out, nil
}

func (s *server) snapshot(cfg model.Config) ([]byte, error) {
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

// Client fetches configuration from balancers.
type Client struct {
	http *http.Client
	auth auth
}

// NewClient returns a client that signs with the fleet key.
func NewClient(key config.Key, now func() time.Time) *Client {
	return &Client{
		http: &http.Client{Transport: &http.Transport{MaxIdleConns: 4, IdleConnTimeout: 30 * time.Second}},
		auth: auth{key: key, now: now},
	}
}

// Fetch returns what the balancer at addr has after a revision.
func (c *Client) Fetch(ctx context.Context, addr netip.AddrPort, after uint64) (Update, error) {
	call := peerpbconnect.NewConfigServiceClient(c.http, "http://"+addr.String(),
		connect.WithInterceptors(c.auth), connect.WithReadMaxBytes(maxMessage))
	res, err := call.Fetch(ctx, &peerpb.FetchRequest{After: after})
	if connect.CodeOf(err) == connect.CodeUnauthenticated {
		return nil, fault.Wrap(err, fault.KindUnauthentic, "balancer "+addr.String()+" has another fleet key", "set the same fleet key on all balancers and check their clocks")
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.KindUnavailable, "balancer "+addr.String()+" does not hand out configuration", "check the fetch address and the network")
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
