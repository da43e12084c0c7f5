package cases

import (
	"net/netip"
	"time"

	"egretdock/core/model"
)

// Ports of the classes.
const (
	PortUrgent = 7001
	PortFeed   = 7002
	PortUpload = 7003
)

// Casablanca is the seating service that three former competitors share.
func Casablanca() Example {
	return newExample("casablanca", []string{"anfa", "maarif", "sidi_maarouf", "ain_sebaa"}, exampleNames{
		desk: "order_desk", urgent: "orders", feed: "feeds",
		intake: "plan_intake", upload: "plans",
	}, []string{"atlas", "medina", "corniche"})
}

// Lagos is the dispatch platform of competing drain-clearing firms.
func Lagos() Example {
	return newExample("lagos", []string{"ikeja", "yaba", "lekki"}, exampleNames{
		desk: "dispatch", urgent: "reports", feed: "gauges",
		intake: "photo_archive", upload: "photos",
	}, []string{"surulere", "apapa", "mushin"})
}

type exampleNames struct {
	desk, urgent, feed string
	intake, upload     string
}

// At 2 slots and 40 ms a request, 15 upstreams run 750 requests a second and 4
// run 200. The usual load is 40% of that, and one machine of 10 cores that
// others use too can flood it several times over.
const serviceTime = 40 * time.Millisecond

func newExample(name string, dcs []string, n exampleNames, firms []string) Example {
	c := Example{Name: name, DataCentres: dcs, BalancerCount: 16}
	c.Services = []Service{
		{
			Template: model.Template{Name: n.desk}.
				WithClass(model.Class{Name: n.urgent, Port: PortUrgent, Kind: model.KindRequest, Priority: 3, MinShare: 0.6}).
				WithClass(model.Class{Name: n.feed, Port: PortFeed, Kind: model.KindFeed, Priority: 2, Idempotent: true}),
			UpstreamCount: 15, Slots: 2, Connections: 4000,
			Workloads: []Workload{
				{Class: n.urgent, Rate: 300, ServiceTime: serviceTime, Jitter: 0.2, AnswerBytes: 2000, Timeout: 2 * time.Second},
				{Class: n.feed, OpenFeeds: 90, PushInterval: 200 * time.Millisecond, Timeout: 5 * time.Second},
			},
		},
		{
			Template: model.Template{Name: n.intake}.
				WithClass(model.Class{Name: n.upload, Port: PortUpload, Kind: model.KindUpload, Priority: 1, MinShare: 0.2}),
			UpstreamCount: 4, Slots: 2, Connections: 4000,
			Workloads: []Workload{{
				Class: n.upload, Rate: 30, ServiceTime: serviceTime, Jitter: 0.2, AnswerBytes: 64,
				Chunks: 8, ChunkBytes: 1000, ChunkPause: 20 * time.Millisecond, Timeout: 5 * time.Second,
			}},
		},
	}
	for i, firm := range firms {
		for j, s := range []string{n.desk, n.intake} {
			c.Customers = append(c.Customers, Customer{
				Name: firm + "_" + s, Firm: firm, Service: s,
				Address: netip.AddrFrom4([4]byte{10, byte(j + 1), 0, byte(i + 1)}),
			})
		}
	}
	return c
}
