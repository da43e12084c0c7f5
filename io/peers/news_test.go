package peers

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"egretdock/core/model"
	"egretdock/core/query"
	"egretdock/io/config"
	"egretdock/io/peers/peerpb"
)

// fixedNews is a NewsSource that returns the same news without waiting.
type fixedNews query.News

func (f fixedNews) WaitNews(context.Context, query.InForce) query.News { return query.News(f) }

// Guards against compressed responses: connect-go requests compression by
// default, which trebled the processor time of a call.
func TestNewsAreNotCompressed(t *testing.T) {
	key := config.NewKey([]byte("0123456789abcdef0123456789abcdef"))
	_, h := NewNewsHandler(fixedNews{ListPosition: model.Position{Revision: 1}}, key, time.Now)
	accepted := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accepted <- r.Header.Get("Accept-Encoding")
		h.ServeHTTP(w, r)
	}))
	defer srv.Close()
	c := NewClient(key, time.Now)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	if _, err := c.WaitNews(t.Context(), addr, query.InForce{}, time.Second); err != nil {
		t.Fatal(err)
	}
	if got := <-accepted; strings.Contains(got, "gzip") {
		t.Errorf("request accepts encoding %q, want no compression", got)
	}
}

// BenchmarkNews measures a call, client and server together.
func BenchmarkNews(b *testing.B) {
	routes := make([]model.Route, 358)
	for i := range routes {
		routes[i] = model.Route{
			Name:     fmt.Sprintf("route-%d", i),
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 8080),
			Services: []model.WeightedService{{Service: "desk", Weight: 1}},
		}
	}
	for name, n := range map[string]query.News{
		"none":   {ListPosition: model.Position{Revision: 1}},
		"routes": {ListPosition: model.Position{Revision: 1}, Routing: model.Routing{Position: model.Position{Revision: 1}}.WithRoutes(routes)},
	} {
		b.Run(name, func(b *testing.B) {
			key := config.NewKey([]byte("0123456789abcdef0123456789abcdef"))
			_, h := NewNewsHandler(fixedNews(n), key, time.Now)
			srv := httptest.NewServer(h)
			defer srv.Close()
			c := NewClient(key, time.Now)
			addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
			for b.Loop() {
				if _, err := c.WaitNews(b.Context(), addr, query.InForce{}, time.Second); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against one odd entry of another balancer that costs all the others.
func TestOddEntryOfPeer(t *testing.T) {
	good := &peerpb.Entry{Id: 1, Name: "i-1", Service: "desk", Ip: 0x0a000001, Port: 8080, Slots: 2}
	for name, odd := range map[string]*peerpb.Entry{
		"unknown kind":      {Id: 2, Name: "i-2", Kind: 9},
		"port out of range": {Id: 2, Name: "i-2", Service: "desk", Ip: 0x0a000002, Port: 1 << 20, Slots: 2},
		"no slots":          {Id: 2, Name: "i-2", Service: "desk", Ip: 0x0a000002, Port: 8080},
		"too many slots":    {Id: 2, Name: "i-2", Service: "desk", Ip: 0x0a000002, Port: 8080, Slots: 1 << 31},
	} {
		t.Run(name, func(t *testing.T) {
			n := decodeNews(&peerpb.FollowResponse{Entries: []*peerpb.Entry{odd, good}})
			if len(n.Entries) != 2 || n.Entries[0].Kind != model.ChangeUnreadable || n.Entries[1].Kind != model.ChangeWritten {
				t.Errorf("entries %+v, want one unreadable and one written", n.Entries)
			}
		})
	}
}
