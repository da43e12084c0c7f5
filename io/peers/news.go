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

// NewsSource has routes and instances to hand out.
type NewsSource interface {
	// WaitNews returns the news after two revisions. It waits for some until ctx
	// ends.
	WaitNews(ctx context.Context, routing, list uint64) query.News
}

// maxNewsWait bounds the wait that a caller may ask for.
const maxNewsWait = 10 * time.Second

// NewNewsHandler serves a source to balancers that hold the fleet key. It
// returns the path to mount it on.
func NewNewsHandler(src NewsSource, key config.Key, now func() time.Time) (string, http.Handler) {
	return peerpbconnect.NewNewsServiceHandler(&newsServer{src: src},
		connect.WithInterceptors(auth{key: key, now: now}), connect.WithReadMaxBytes(maxMessage))
}

type newsServer struct{ src NewsSource }

// Wait returns what is newer than the caller's revisions.
func (s *newsServer) Wait(ctx context.Context, req *peerpb.WaitRequest) (*peerpb.WaitResponse, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxNewsWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	n := s.src.WaitNews(ctx, req.GetRouting(), req.GetList())
	return encodeNews(n), nil
}

// WaitNews asks the balancer at addr for the news after two revisions; it
// answers after wait at the latest.
func (c *Client) WaitNews(ctx context.Context, addr netip.AddrPort, routing, list uint64, wait time.Duration) (query.News, error) {
	call := peerpbconnect.NewNewsServiceClient(c.http, "http://"+addr.String(),
		connect.WithInterceptors(c.auth), connect.WithReadMaxBytes(maxMessage),
		// News are a few bytes as a rule, and compression costs a small host more
		// processor time than the transfer of a whole configuration.
		connect.WithAcceptCompression("gzip", nil, nil))
	res, err := call.Wait(ctx, &peerpb.WaitRequest{Routing: routing, List: list, WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		return query.News{}, fault.Wrap(err, fault.KindUnavailable, "balancer "+addr.String()+" hands out no news", "check the balancer and the network; the store is read instead")
	}
	return decodeNews(res)
}

// CloseIdleConnections closes the idle connections, so that the next call opens
// a new one.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

func encodeNews(n query.News) *peerpb.WaitResponse {
	out := &peerpb.WaitResponse{
		List: n.ListRevision, Whole: n.FullList, Away: n.StoreUnavailable,
		RoutingAgeMs: milliseconds(n.RoutingAge), ListAgeMs: milliseconds(n.ListAge),
	}
	if n.Routing.Revision > 0 {
		out.Routing = &peerpb.Routing{
			Revision: n.Routing.Revision, Version: n.Routing.Version,
			IdleTimeoutMs: milliseconds(n.Routing.IdleTimeout),
		}
		for _, r := range n.Routing.Routes() {
			ip, port := splitAddr(r.Address)
			one := &peerpb.Route{Name: r.Name, Ip: ip, Port: port, Idempotent: r.Idempotent, Bulk: r.Bulk}
			for _, s := range r.Services {
				one.Shares = append(one.Shares, &peerpb.Share{Service: s.Service, Weight: uint32(s.Weight)})
			}
			out.Routing.Routes = append(out.Routing.Routes, one)
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
	e.WarmupLeftMs, e.Born, e.Revision = milliseconds(in.WarmupLeft), in.StartMillis, in.Revision
	return e
}

func decodeNews(m *peerpb.WaitResponse) (query.News, error) {
	n := query.News{
		ListRevision: m.GetList(), FullList: m.GetWhole(), StoreUnavailable: m.GetAway(),
		RoutingAge: duration(m.GetRoutingAgeMs()), ListAge: duration(m.GetListAgeMs()),
	}
	if r := m.GetRouting(); r != nil {
		routes := make([]model.Route, 0, len(r.GetRoutes()))
		for _, one := range r.GetRoutes() {
			route := model.Route{Name: one.GetName(), Address: joinAddr(one.GetIp(), one.GetPort()), Idempotent: one.GetIdempotent(), Bulk: one.GetBulk()}
			for _, s := range one.GetShares() {
				route.Services = append(route.Services, model.WeightedService{Service: s.GetService(), Weight: int(s.GetWeight())})
			}
			routes = append(routes, route)
		}
		n.Routing = model.Routing{
			Revision: r.GetRevision(), Version: r.GetVersion(), IdleTimeout: duration(r.GetIdleTimeoutMs()),
		}.WithRoutes(routes)
	}
	for _, e := range m.GetEntries() {
		if e.GetKind() > uint32(model.ChangeUnreadable) {
			return query.News{}, fault.New(fault.KindInvalid, "news with an unknown kind of change", "run the same version on all balancers")
		}
		n.Entries = append(n.Entries, model.InstanceChange{Kind: model.ChangeKind(e.GetKind()), Instance: model.Instance{
			ID: e.GetId(), Name: e.GetName(), Service: e.GetService(), DataCentre: e.GetDataCentre(),
			Endpoint: joinAddr(e.GetIp(), e.GetPort()), Slots: int(e.GetSlots()), Draining: e.GetDraining(),
			WarmupLeft: duration(e.GetWarmupLeftMs()), StartMillis: e.GetBorn(), Revision: e.GetRevision(),
		}})
	}
	return n, nil
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

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
