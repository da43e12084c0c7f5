package engine_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretdock/core/engine"
	"egretdock/core/input"
	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/packet"
	"egretdock/core/table"
)

// benchBalancer is a balancer that owns all upstreams of one customer.
func benchBalancer(upstreams int) (*memBalancer, time.Time) {
	b := &memBalancer{work: engine.NewWorkerState(1)}
	b.Self = model.Balancer{Name: "b00", DataCentre: "dc0", Peer: netip.MustParseAddrPort("10.0.0.1:9000")}
	p := model.Params{Customer: "north", Template: "order_desk", Address: orderAddr.Addr()}
	for i := range upstreams {
		p = p.WithUpstream(benchUpstream(i))
	}
	now := time.Unix(1_000_000, 0)
	b.Handle(b.work, now, &input.Hosts{Balancers: []model.Balancer{b.Self}})
	b.Handle(b.work, now, &input.ConfigReceived{Config: model.Config{}.WithTemplate(deskTemplate("order_desk")).WithParams(p).WithRevision(1)})
	return b, now
}

func benchUpstream(i int) model.Upstream {
	return model.Upstream{
		Name: fmt.Sprintf("u%05d", i), DataCentre: "dc0",
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, byte(i >> 8), byte(i)}), 7000),
	}
}

// BenchmarkEstablished measures the cost of a packet on an established flow.
func BenchmarkEstablished(b *testing.B) {
	for _, token := range []bool{true, false} {
		b.Run(fmt.Sprintf("token=%v", token), func(b *testing.B) {
			bal, now := benchBalancer(15)
			route := packet.Route{Endpoint: benchUpstream(3).Endpoint, Incarnation: 1}
			in := &input.FromClient{Packet: packet.Packet{
				Header: packet.Header{Flow: 7, Address: planAddr, Handshake: 1},
				Body:   &packet.Data{Seq: 1, Payload: make([]byte, 1000)},
			}}
			if token {
				in.Packet.Route = route
			} else {
				bind, _ := bal.Tables.View().Binding(planAddr.Addr())
				bal.Tables.Flows.Put(newHolder(), now, table.FlowKey{Flow: 7, Binding: bind.ID}, &route)
			}
			b.ReportAllocs()
			for b.Loop() {
				bal.work.Out.Reset()
				in.Packet.Client = netip.AddrPort{}
				if !token {
					in.Packet.Route = packet.Route{}
				}
				bal.Handle(bal.work, now, in)
			}
		})
	}
}

// BenchmarkOpening measures the cost at the owner of an opening, its accept, the
// first request and its answer.
func BenchmarkOpening(b *testing.B) {
	bal, now := benchBalancer(15)
	var flow uint64
	b.ReportAllocs()
	for b.Loop() {
		flow++
		h := packet.Header{Flow: flow, Address: orderAddr}
		bal.step(now, &input.FromClient{Packet: packet.Packet{Header: h, Body: &packet.Open{Attempt: 1}}})
		v := bal.Tables.View()
		bind, _ := v.Binding(orderAddr.Addr())
		c := bind.Pool.PlacementCandidates(flow)
		ep := c.At(0).Endpoint
		h.Handshake = 1
		h.Route = packet.Route{Endpoint: ep, Incarnation: 1}
		bal.step(now, &input.FromUpstream{Source: ep, Packet: packet.Packet{Header: h, Body: &packet.Accept{}}})
		bal.step(now, &input.FromClient{Packet: packet.Packet{Header: h, Body: &packet.Request{ID: 1, Attempt: 1}}})
		bal.step(now, &input.FromUpstream{Source: ep, Packet: packet.Packet{Header: h, Body: &packet.Answer{ID: 1, Parts: 1}}})
	}
}

func (b *memBalancer) step(now time.Time, in input.Input) {
	b.work.Out.Reset()
	b.Handle(b.work, now, in)
}

// BenchmarkConfigure measures the cost of a change to the upstreams of one
// customer, by number of customers with 6 upstreams each.
func BenchmarkConfigure(b *testing.B) {
	for _, customers := range []int{10, 100, 1200} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			bal, now := benchBalancer(1)
			cfg := model.Config{}.WithTemplate(deskTemplate("order_desk"))
			for i := range customers {
				p := model.Params{
					Customer: fmt.Sprintf("c%04d", i), Template: "order_desk",
					Address: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}),
				}
				for j := range 6 {
					p = p.WithUpstream(benchUpstream(i*6 + j))
				}
				cfg = cfg.WithParams(p)
			}
			cfg = cfg.WithRevision(2)
			bal.step(now, &input.ConfigReceived{Config: cfg})
			extra := model.Upstream{Name: "extra", DataCentre: "dc0", Endpoint: netip.MustParseAddrPort("10.99.0.1:7000")}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				p, _ := cfg.Params("c0000")
				if i%2 == 0 {
					p = p.WithUpstream(extra)
				} else {
					p = p.WithoutUpstream(extra.Name)
				}
				cfg = cfg.WithParams(p).WithRevision(cfg.Revision + 1)
				bal.step(now, &input.ConfigReceived{Config: cfg})
			}
		})
	}
}

// BenchmarkFlowMemory measures the memory of one cached route.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 300_000
	for b.Loop() {
		before := heapBytes()
		var f table.Flows
		r := &packet.Route{}
		h := newHolder()
		for i := range uint64(flows) {
			f.Put(h, time.Unix(1, 0), table.FlowKey{Flow: i * 0x9e3779b97f4a7c15, Binding: 1}, r)
		}
		b.ReportMetric(float64(heapBytes()-before)/flows, "bytes/flow")
		if n := f.Len(h); n != flows {
			b.Fatalf("cache holds %d flows, want %d", n, flows)
		}
	}
}

// BenchmarkTarget measures a tick and the memory of all control state at the
// target size: 1,000 balancers in 14 data centres and 1,200 customers with 6
// upstreams each.
func BenchmarkTarget(b *testing.B) {
	for _, size := range []struct{ balancers, customers int }{{16, 20}, {1000, 1200}} {
		b.Run(fmt.Sprintf("balancers=%d", size.balancers), func(b *testing.B) {
			before := heapBytes()
			bal, now := benchBalancer(1)
			cfg := model.Config{}.WithTemplate(deskTemplate("order_desk"))
			for i := range size.customers {
				p := model.Params{
					Customer: fmt.Sprintf("c%04d", i), Template: "order_desk",
					Address: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}),
				}
				for j := range 6 {
					u := benchUpstream(i*6 + j)
					u.DataCentre = fmt.Sprintf("dc%d", j%14)
					p = p.WithUpstream(u)
				}
				cfg = cfg.WithParams(p)
			}
			bal.step(now, &input.ConfigReceived{Config: cfg.WithRevision(2)})
			for i := range size.balancers {
				peer := model.Balancer{
					Name: fmt.Sprintf("peer%04d", i), DataCentre: fmt.Sprintf("dc%d", i%14), Incarnation: 1,
					Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 9000),
				}
				bal.step(now, &input.Gossip{Message: &member.Ping{Header: member.Header{Seq: 1, From: peer}}})
			}
			used := float64(heapBytes()-before) / 1e6
			b.ResetTimer()
			for b.Loop() {
				now = now.Add(input.TickInterval)
				bal.step(now, &input.Tick{})
			}
			b.ReportMetric(used, "MB")
			b.ReportMetric(float64(len(bal.Tables.Ownership().Owned)), "owned")
		})
	}
}
