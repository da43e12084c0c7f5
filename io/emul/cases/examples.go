package cases

import (
	"net/netip"
	"time"

	"egretdock/core/model"
)

// Ports of the classes.
const (
	PortRequest = 7001
	PortFeed    = 7002
	PortUpload  = 7003
)

// Casablanca returns the example of a seating service that three former
// competitors share.
func Casablanca() Example {
	return newExample("casablanca", []string{"anfa", "maarif", "sidi_maarouf", "ain_sebaa"}, exampleNames{
		requestService: "order_desk", requestClass: "orders", feedClass: "feeds",
		uploadService: "plan_intake", uploadClass: "plans",
	}, []string{"atlas", "medina", "corniche"})
}

// Lagos returns the example of a dispatch platform of competing drain-clearing
// firms.
func Lagos() Example {
	return newExample("lagos", []string{"ikeja", "yaba", "lekki"}, exampleNames{
		requestService: "dispatch", requestClass: "reports", feedClass: "gauges",
		uploadService: "photo_archive", uploadClass: "photos",
	}, []string{"surulere", "apapa", "mushin"})
}

// exampleNames holds the names of an example's services and of their classes.
type exampleNames struct {
	requestService, requestClass, feedClass string
	uploadService, uploadClass              string
}

// serviceTime gives 15 upstreams with 2 slots a capacity of 750 requests per
// second, and 4 upstreams 200. The base load of requests is 40% of that. A
// shared machine of 10 cores can generate a flood of several times the capacity.
const serviceTime = 40 * time.Millisecond

func newExample(name string, dcs []string, n exampleNames, firms []string) Example {
	c := Example{Name: name, DataCentres: dcs, BalancerCount: 16}
	c.Services = []Service{
		{
			Template: model.Template{Name: n.requestService}.
				WithClass(model.Class{Name: n.requestClass, Port: PortRequest, Kind: model.KindRequest, Priority: 3, MinShare: 0.6}).
				WithClass(model.Class{Name: n.feedClass, Port: PortFeed, Kind: model.KindFeed, Priority: 2, Idempotent: true}),
			UpstreamCount: 15, Slots: 2, Connections: 4000,
			Workloads: []Workload{
				{Class: n.requestClass, Rate: 300, ServiceTime: serviceTime, Jitter: 0.2, AnswerBytes: 2000, Timeout: 2 * time.Second},
				{Class: n.feedClass, OpenFeeds: 90, PushInterval: 200 * time.Millisecond, Timeout: 5 * time.Second},
			},
		},
		{
			Template: model.Template{Name: n.uploadService}.
				WithClass(model.Class{Name: n.uploadClass, Port: PortUpload, Kind: model.KindUpload, Priority: 1, MinShare: 0.2}),
			UpstreamCount: 4, Slots: 2, Connections: 4000,
			Workloads: []Workload{{
				Class: n.uploadClass, Rate: 30, ServiceTime: serviceTime, Jitter: 0.2, AnswerBytes: 64,
				Chunks: 8, ChunkBytes: 1000, ChunkPause: 20 * time.Millisecond, Timeout: 5 * time.Second,
			}},
		},
	}
	for i, firm := range firms {
		for j, s := range []string{n.requestService, n.uploadService} {
			c.Customers = append(c.Customers, Customer{
				Name: firm + "_" + s, Firm: firm, Service: s,
				Address: netip.AddrFrom4([4]byte{10, byte(j + 1), 0, byte(i + 1)}),
			})
		}
	}
	return c
}
