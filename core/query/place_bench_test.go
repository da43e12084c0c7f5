package query

import (
	"fmt"
	"testing"
	"time"

	"egretdock/core/table"
)

// The cost of choosing the instance of a flow, by the number of instances in
// four data centres.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 150, 3000, 7100} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			where := make([]string, n)
			for i := range where {
				where[i] = []string{"ain", "sidi", "bouskoura", "nouaceur"}[i%4]
			}
			d := view(where...)
			now := answers(d, 1, 20*time.Millisecond, time.Second)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				Place(d, orders, flowID(i%60000), &table.Track{}, nil, FleetSize{DataCentres: 4, Balancers: 35}, now)
			}
		})
	}
}

// The cost of a change of one instance in the list.
func BenchmarkRosterChange(b *testing.B) {
	for _, n := range []int{150, 3000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			where := make([]string, n)
			for i := range where {
				where[i] = "ain"
			}
			d := view(where...)
			b.ReportAllocs()
			for b.Loop() {
				d = d.WithRoster(d.Roster.WithChanges(placeStart, nil, 2), table.Locality{DataCentre: "ain"})
			}
		})
	}
}
