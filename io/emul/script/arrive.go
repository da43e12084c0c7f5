package script

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdock/core/model"
	"egretdock/io/emul/cases"
)

// Arrival is one request or upload that a client starts at a planned time,
// whether or not earlier ones have ended.
type Arrival struct {
	At       time.Duration
	Customer cases.Customer
	Class    model.Class
	Workload cases.Workload
	// Payload is unique within the run.
	Payload string
}

// Address returns the service address that the arrival is sent to.
func (a Arrival) Address() netip.AddrPort {
	return netip.AddrPortFrom(a.Customer.Address, a.Class.Port)
}

// MaxArrivals limits the arrivals of one run.
const MaxArrivals = 200_000

// Arrivals returns the planned arrivals of a script, sorted by time. The same
// arguments always give the same arrivals.
func Arrivals(c cases.Example, s Script, seed uint64) []Arrival {
	var out []Arrival
	for _, sv := range c.Services {
		for _, w := range sv.Workloads {
			customers := c.CustomersOf(sv.Template.Name)
			for _, u := range customers {
				r := rates{base: w.Rate / float64(len(customers))}
				if f, ok := s.Flood(w.Class); ok {
					r.from, r.to = f.From, f.To
					r.flood = f.Factor * sv.Capacity(w) / float64(len(customers))
				}
				out = append(out, poissonArrivals(u, FindClass(sv.Template, w.Class), w, r, s.Length, seed)...)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out[:min(len(out), MaxArrivals)]
}

// rates are the arrivals per second outside and inside a flood.
type rates struct {
	base, flood float64
	from, to    time.Duration
}

func (r rates) at(t time.Duration) float64 {
	if r.flood > r.base && t >= r.from && t < r.to {
		return r.flood
	}
	return r.base
}

// poissonArrivals returns the arrivals of one customer and class. They are a
// Poisson process at the highest rate, thinned to the rate of each time.
func poissonArrivals(u cases.Customer, c model.Class, w cases.Workload, r rates, length time.Duration, seed uint64) []Arrival {
	maxRate := max(r.base, r.flood)
	if maxRate <= 0 || c.Kind == model.KindFeed {
		return nil
	}
	rnd := rand.New(rand.NewPCG(seed, xxhash.Sum64String(u.Name+"/"+c.Name)))
	var out []Arrival
	for at := time.Duration(0); len(out) < MaxArrivals; {
		at += time.Duration(rnd.ExpFloat64() / maxRate * float64(time.Second))
		if at >= length {
			return out
		}
		if rnd.Float64()*maxRate < r.at(at) {
			out = append(out, Arrival{
				At: at, Customer: u, Class: c, Workload: w,
				Payload: fmt.Sprintf("%s/%s/%d", u.Name, c.Name, len(out)),
			})
		}
	}
	return out
}

// FindClass returns the named class of a template, or the zero class.
func FindClass(t model.Template, name string) model.Class {
	for _, c := range t.Classes {
		if c.Name == name {
			return c
		}
	}
	return model.Class{}
}

func sortSteps(steps []Timed) {
	slices.SortStableFunc(steps, func(a, b Timed) int { return int(a.At - b.At) })
}
