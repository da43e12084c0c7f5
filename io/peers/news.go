package peers

import (
	"context"
	"encoding/binary"
	"math"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/core/query"
	"egretdock/io/config"
	"egretdock/io/peers/peerpb"
	"egretdock/io/peers/peerpb/peerpbconnect"
)

// NewsSource provides the routes and instances to serve to other balancers.
type NewsSource interface {
	// WaitNews returns what is newer than the known routes and list of instances.
	// While nothing is newer it waits until ctx ends.
	WaitNews(ctx context.Context, known query.InForce) query.News
}

// maxNewsWait bounds the wait that a caller may request.
const maxNewsWait = 10 * time.Second

// NewNewsHandler returns a handler that serves the routes and instances of src
// to balancers that hold the fleet key, and the path to mount it on.
func NewNewsHandler(src NewsSource, key config.Key, now func() time.Time) (string, http.Handler) {
	return peerpbconnect.NewNewsServiceHandler(&newsServer{src: src},
		connect.WithInterceptors(auth{key: key, now: now}), connect.WithReadMaxBytes(maxMessageBytes))
}

type newsServer struct{ src NewsSource }

// Follow returns what is newer than what the caller has in force, or nothing new
// once the caller's wait is over.
func (s *newsServer) Follow(ctx context.Context, req *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxNewsWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	n := s.src.WaitNews(ctx, query.InForce{
		Version: req.GetVersion(), Routing: decodePosition(req.GetRouting()), List: decodePosition(req.GetList()),
	})
	return encodeNews(n), nil
}

// WaitNews asks the balancer at addr for what is newer than the known routes and
// list of instances. The balancer answers after wait
// at the latest.
func (c *Client) WaitNews(ctx context.Context, addr netip.AddrPort, known query.InForce, wait time.Duration) (query.News, error) {
	call := peerpbconnect.NewNewsServiceClient(c.http, "http://"+addr.String(),
		connect.WithInterceptors(c.auth), connect.WithReadMaxBytes(maxMessageBytes),
		// A response usually has a few bytes. On a small host, compression
		// takes more processor time than the transfer of a whole configuration.
		connect.WithAcceptCompression("gzip", nil, nil))
	res, err := call.Follow(ctx, &peerpb.FollowRequest{
		Version: known.Version, Routing: encodePosition(known.Routing), List: encodePosition(known.List),
		WaitMs: uint32(wait.Milliseconds()),
	})
	if err != nil {
		return query.News{}, fault.Wrap(err, fault.KindUnavailable, "balancer "+addr.String()+" did not return routes and instances", "check the balancer and the network; the store is read instead")
	}
	return decodeNews(res), nil
}

// CloseIdleConnections makes the next call open a new connection.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

func encodeNews(n query.News) *peerpb.FollowResponse {
	out := &peerpb.FollowResponse{
		List: encodePosition(n.ListPosition), Whole: n.FullList, Away: n.StoreUnavailable,
		RoutingAgeMs: milliseconds(n.RoutingAge), ListAgeMs: milliseconds(n.ListAge),
	}
	if !n.Routing.Position.IsZero() {
		out.Routing = &peerpb.Routing{
			Position: encodePosition(n.Routing.Position), Version: n.Routing.Version,
			IdleTimeoutMs: milliseconds(n.Routing.IdleTimeout),
		}
		for _, r := range n.Routing.Routes() {
			ip, port := splitAddr(r.Address)
			route := &peerpb.Route{Name: r.Name, Ip: ip, Port: port, Idempotent: r.Idempotent, Bulk: r.Bulk}
			for _, s := range r.Services {
				route.Shares = append(route.Shares, &peerpb.Share{Service: s.Service, Weight: uint32(s.Weight)})
			}
			out.Routing.Routes = append(out.Routing.Routes, route)
		}
	}
	for _, c := range n.Entries {
		out.Entries = append(out.Entries, encodeEntry(c))
	}
	return out
}

func encodeEntry(c model.InstanceChange) *peerpb.Entry {
	in := c.Instance
	e := &peerpb.Entry{Id: in.ID, Name: in.Name, Kind: uint32(c.Kind)}
	if c.Kind != model.ChangeWritten {
		return e
	}
	e.Service, e.DataCentre = in.Service, in.DataCentre
	e.Ip, e.Port = splitAddr(in.Endpoint)
	e.Slots, e.Draining = uint32(in.Slots), in.Draining
	e.Sequence = in.Sequence
	e.WarmupLeftMs, e.Born, e.Position = milliseconds(in.WarmupLeft), in.StartMillis, encodePosition(in.Position)
	return e
}

func decodeNews(m *peerpb.FollowResponse) query.News {
	n := query.News{
		ListPosition: decodePosition(m.GetList()), FullList: m.GetWhole(), StoreUnavailable: m.GetAway(),
		RoutingAge: duration(m.GetRoutingAgeMs()), ListAge: duration(m.GetListAgeMs()),
	}
	if r := m.GetRouting(); r != nil {
		routes := make([]model.Route, 0, len(r.GetRoutes()))
		for _, rt := range r.GetRoutes() {
			route := model.Route{Name: rt.GetName(), Address: joinAddr(rt.GetIp(), rt.GetPort()), Idempotent: rt.GetIdempotent(), Bulk: rt.GetBulk()}
			for _, s := range rt.GetShares() {
				route.Services = append(route.Services, model.WeightedService{Service: s.GetService(), Weight: int(s.GetWeight())})
			}
			routes = append(routes, route)
		}
		n.Routing = model.Routing{
			Position: decodePosition(r.GetPosition()), Version: r.GetVersion(), IdleTimeout: duration(r.GetIdleTimeoutMs()),
		}.WithRoutes(routes)
	}
	for _, e := range m.GetEntries() {
		n.Entries = append(n.Entries, decodeEntry(e))
	}
	return n
}

// decodeEntry returns an unreadable entry for one that a balancer of another build
// may have sent, so that it costs no other one.
func decodeEntry(e *peerpb.Entry) model.InstanceChange {
	c := model.InstanceChange{Kind: model.ChangeKind(e.GetKind()), Instance: model.Instance{ID: e.GetId(), Name: e.GetName()}}
	written := e.GetKind() == uint32(model.ChangeWritten)
	switch {
	case e.GetKind() > uint32(model.ChangeUnreadable),
		written && (e.GetSlots() == 0 || e.GetSlots() > math.MaxInt32 || e.GetPort() == 0 || e.GetPort() > math.MaxUint16):
		c.Kind = model.ChangeUnreadable
	case written:
		c.Instance.Service, c.Instance.DataCentre = e.GetService(), e.GetDataCentre()
		c.Instance.Endpoint, c.Instance.Slots, c.Instance.Draining = joinAddr(e.GetIp(), e.GetPort()), int(e.GetSlots()), e.GetDraining()
		c.Instance.WarmupLeft, c.Instance.StartMillis = duration(e.GetWarmupLeftMs()), e.GetBorn()
		c.Instance.Sequence, c.Instance.Position = e.GetSequence(), decodePosition(e.GetPosition())
	}
	return c
}

func encodePosition(p model.Position) *peerpb.Position {
	return &peerpb.Position{Era: p.Era, Revision: p.Revision}
}

func decodePosition(p *peerpb.Position) model.Position {
	return model.Position{Era: p.GetEra(), Revision: p.GetRevision()}
}

// milliseconds clamps d to the range of the field.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// splitAddr returns zeros for an address that is not IPv4.
func splitAddr(a netip.AddrPort) (ip, port uint32) {
	if !a.Addr().Is4() {
		return 0, 0
	}
	b := a.Addr().As4()
	return binary.BigEndian.Uint32(b[:]), uint32(a.Port())
}

func joinAddr(ip, port uint32) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(port))
}
