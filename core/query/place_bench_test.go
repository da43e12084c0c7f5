package query

import (
	"fmt"
	"testing"
	"time"

	"egretdock/core/model"
	"egretdock/core/table"
)

// BenchmarkPlace measures the choice of the instance of a flow, by the number
// of instances in four data centres.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 150, 3000, 7100} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			where := make([]string, n)
			for i := range where {
				where[i] = []string{"ain", "sidi", "bouskoura", "nouaceur"}[i%4]
			}
			d := view(where...)
			now := observeAnswers(d, 1, 20*time.Millisecond, time.Second)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				Place(d, orders, flowID(i%60000), &table.Track{}, nil, FleetSize{DataCentres: 4, Balancers: 35}, now)
			}
		})
	}
}

// BenchmarkRosterChange measures the update of the view after a change of the
// instance list.
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
				d = d.WithRoster(d.Roster.WithChanges(placeStart, nil, model.Position{Revision: 2}), table.Locality{DataCentre: "ain"})
			}
		})
	}
}
