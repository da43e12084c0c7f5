// Package cases defines the example deployments.
package cases

import (
	"net/netip"
	"time"

	"egretdock/core/fault"
	"egretdock/core/model"
	"egretdock/io/emul/upstr"
)

// Example is one example deployment with its usual workload. It is immutable.
type Example struct {
	Name        string
	DataCentres []string
	// The balancers are assigned to the data centres in turn.
	BalancerCount int
	Services      []Service
	Customers     []Customer
}

// Service is one template with its upstreams and its workload.
type Service struct {
	Template model.Template
	// The upstreams are assigned to the data centres in turn.
	UpstreamCount int
	// Slots and Connections are the limits of each upstream on running requests
	// and on open connections.
	Slots, Connections int
	// Workloads has one entry for each class of the template.
	Workloads []Workload
}

// Workload describes the workload of one class over all its customers.
type Workload struct {
	Class string
	// Rate is the total number of requests or uploads per second.
	Rate float64
	// OpenFeeds is the number of feeds held open.
	OpenFeeds int
	// ServiceTime is the time that a request holds a slot. Jitter is the
	// fraction of it that varies, from 0 to 1.
	ServiceTime time.Duration
	Jitter      float64
	// AnswerBytes is the length of an answer in bytes.
	AnswerBytes int
	// PushInterval is the interval between pushed messages on a feed.
	PushInterval time.Duration
	// One upload consists of Chunks chunks of ChunkBytes each, with ChunkPause
	// after each chunk.
	Chunks, ChunkBytes int
	ChunkPause         time.Duration
	// Timeout is the time after which the client gives up a request or upload,
	// or the opening of a feed.
	Timeout time.Duration
}

// Customer is the use of one service by one firm.
type Customer struct {
	// Name is unique in the configuration.
	Name string
	// Firm is the same for all services that the firm uses.
	Firm string
	// Service names the template.
	Service string
	Address netip.Addr
}

// Capacity returns the requests per second that the upstreams of the service
// can run if all of them belong to one class.
func (s Service) Capacity(w Workload) float64 {
	if w.ServiceTime <= 0 {
		return 0
	}
	return float64(s.UpstreamCount*s.Slots) / w.ServiceTime.Seconds()
}

// Behaviours returns the behaviour of the service's upstreams by class port.
func (s Service) Behaviours() map[uint16]upstr.Behaviour {
	out := make(map[uint16]upstr.Behaviour, len(s.Workloads))
	for _, w := range s.Workloads {
		for _, c := range s.Template.Classes {
			if c.Name == w.Class {
				out[c.Port] = upstr.Behaviour{
					Kind: c.Kind, ServiceTime: w.ServiceTime, Jitter: w.Jitter,
					PushEvery: w.PushInterval, AnswerBytes: w.AnswerBytes,
				}
			}
		}
	}
	return out
}

// Service returns the named service.
func (c Example) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Template.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// CustomersOf returns the customers of a service.
func (c Example) CustomersOf(service string) []Customer {
	var out []Customer
	for _, u := range c.Customers {
		if u.Service == service {
			out = append(out, u)
		}
	}
	return out
}

// Addresses returns the service addresses of a service's customers.
func (c Example) Addresses(service string) map[netip.Addr]bool {
	out := make(map[netip.Addr]bool)
	for _, u := range c.CustomersOf(service) {
		out[u.Address] = true
	}
	return out
}

// WithBalancerCount returns a copy with the given number of balancers.
func (c Example) WithBalancerCount(n int) Example {
	c.BalancerCount = n
	return c
}

// Names returns the names of the examples.
func Names() []string { return []string{"casablanca", "lagos"} }

// Find returns the named example.
func Find(name string) (Example, error) {
	switch name {
	case "casablanca":
		return Casablanca(), nil
	case "lagos":
		return Lagos(), nil
	default:
		return Example{}, fault.New(fault.KindNotFound, "unknown example "+name, "choose casablanca or lagos")
	}
}
