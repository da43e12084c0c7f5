package query

import (
	"fmt"
	"net/netip"
	"testing"

	"egretdock/core/member"
	"egretdock/core/model"
	"egretdock/core/table"
)

// targetView returns a view of customers with 6 upstreams each, spread over 14
// data centres.
func targetView(customers int) *table.View {
	cfg := model.Config{}.WithTemplate(model.Template{Name: "desk"}.WithClass(model.Class{Name: "orders", Port: 7001}))
	for i := range customers {
		p := model.Params{Customer: fmt.Sprintf("c%04d", i), Template: "desk", Address: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})}
		for j := range 6 {
			n := i*6 + j
			p = p.WithUpstream(model.Upstream{
				Name: fmt.Sprintf("u%05d", n), DataCentre: fmt.Sprintf("dc%d", n%14),
				Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, byte(n >> 8), byte(n)}), 7000),
			})
		}
		cfg = cfg.WithParams(p)
	}
	return table.NextView(&table.View{}, cfg.WithRevision(1))
}

// BenchmarkSplitOwnership measures the computation of the owned upstreams after
// a change of the members, for 6 upstreams per customer.
func BenchmarkSplitOwnership(b *testing.B) {
	for _, size := range []struct{ balancers, customers int }{{16, 20}, {100, 120}, {1000, 1200}} {
		b.Run(fmt.Sprintf("balancers=%d", size.balancers), func(b *testing.B) {
			v := targetView(size.customers)
			var bs []model.Balancer
			for i := range size.balancers {
				bs = append(bs, model.Balancer{Name: fmt.Sprintf("b%04d", i), DataCentre: fmt.Sprintf("dc%d", i%14)})
			}
			m := member.NewView(bs).WithOwnerIndex()
			b.ReportAllocs()
			for b.Loop() {
				SplitOwnership(v, m, "b0000")
			}
		})
	}
}
