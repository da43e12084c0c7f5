package fleet

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egretdock/client"
	"egretdock/core/model"
	"egretdock/io/daemon"
	"egretdock/io/emul/upstr"
)

var service = netip.MustParseAddr("10.1.0.1")

func at(port uint16) netip.AddrPort { return netip.AddrPortFrom(service, port) }

func start(t *testing.T, balancers, upstreams int) (*Fleet, *client.Client) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	f, err := New(t.Context(), Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for i := range balancers {
		if err := f.AddBalancer(fmt.Sprintf("b%02d", i), fmt.Sprintf("dc%d", i%2)); err != nil {
			t.Fatal(err)
		}
	}
	tmpl := model.Template{Name: "order_desk"}.
		WithClass(model.Class{Name: "orders", Port: 7001, Kind: model.KindRequest, Priority: 3}).
		WithClass(model.Class{Name: "feeds", Port: 7002, Kind: model.KindFeed, Priority: 2}).
		WithClass(model.Class{Name: "plans", Port: 7003, Kind: model.KindUpload, Priority: 1})
	params := model.Params{Customer: "north", Template: tmpl.Name, Address: service}
	for i := range upstreams {
		u, err := f.AddUpstream(fmt.Sprintf("dc%d", i%2), upstr.Config{
			Name: fmt.Sprintf("u%02d", i), Service: tmpl.Name, Addresses: map[netip.Addr]bool{service: true}, Seed: uint64(i),
			Behaviours: map[uint16]upstr.Behaviour{
				7001: {Kind: model.KindRequest, ServiceTime: 5 * time.Millisecond, AnswerBytes: 5000},
				7002: {Kind: model.KindFeed, PushEvery: 10 * time.Millisecond},
				7003: {Kind: model.KindUpload, ServiceTime: 5 * time.Millisecond, AnswerBytes: 8},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		params = params.WithUpstream(u)
	}
	revision, err := f.Configure(t.Context(), model.Config{}.WithTemplate(tmpl).WithParams(params))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitRevision(t.Context(), revision); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitMembers(t.Context()); err != nil {
		t.Fatal(err)
	}
	link, err := client.DialUDP(f.ClientAddrs(), 1)
	if err != nil {
		t.Fatal(err)
	}
	c := client.New(link, client.Options{Seed: 1})
	t.Cleanup(func() { _ = c.Close() })
	return f, c
}

// Guards against parts that work only in isolation: real daemons, sockets and
// upstreams together serve the three kinds of flow.
func TestLoopback(t *testing.T) {
	f, c := start(t, 4, 4)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	t.Run("request gets its whole answer", func(t *testing.T) {
		for i := range 20 {
			payload := fmt.Appendf(nil, "order %d", i)
			got, err := c.Call(ctx, at(7001), payload)
			wantAnswer(t, got, err, upstr.Answer(payload, upstr.EmptyDigest(), 5000))
		}
	})
	t.Run("feed pushes", func(t *testing.T) {
		flow, err := c.Open(ctx, at(7002))
		if err != nil {
			t.Fatal(err)
		}
		defer flow.Close()
		for range 3 {
			if _, err := flow.Receive(ctx); err != nil {
				t.Fatal(err)
			}
		}
	})
	t.Run("upload arrives whole", func(t *testing.T) {
		flow, err := c.Open(ctx, at(7003))
		if err != nil {
			t.Fatal(err)
		}
		defer flow.Close()
		for i := range 10 {
			if err := flow.Send(ctx, fmt.Appendf(nil, "chunk %d", i)); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := flow.Do(ctx, []byte("done")); err != nil {
			t.Fatal(err)
		}
	})
	if n := f.Journal.Misrouted(); n != 0 {
		t.Errorf("%d packets misrouted, want 0", n)
	}
}

func wantAnswer(t *testing.T, got []byte, err error, want []byte) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("answer has %d bytes %x…, want %d bytes %x…", len(got), got[:8], len(want), want[:8])
	}
}

// Guards against a retired balancer that stops before the others know that it
// is leaving: packets that they relay to it would be lost until they suspect it.
func TestRetire(t *testing.T) {
	f, _ := start(t, 4, 2)
	f.RetireBalancer("b00")()
	for _, b := range f.live() {
		p, ok := b.Process.(interface{ Daemon() *daemon.Daemon })
		if !ok {
			t.Fatalf("%s is a %T, want a daemon", b.Self().Name, b.Process)
		}
		for _, m := range p.Daemon().Status().Members {
			if m.Name == "b00" && m.Status == "alive" {
				t.Errorf("%s still sees b00 as alive", b.Self().Name)
			}
		}
	}
}
