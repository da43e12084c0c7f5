// Package fabric emulates the network between clients and balancers. It drops,
// duplicates, delays and reorders datagrams, driven by a seeded random source.
package fabric

import (
	"math/rand/v2"
	"time"
)

// Fault is one way in which the network changes the delivery of datagrams.
//
//sumtype:decl
type Fault interface{ fault() }

// Drop loses a share of the datagrams, from 0 to 1.
type Drop struct{ Share float64 }

// Duplicate delivers a share of the datagrams twice.
type Duplicate struct{ Share float64 }

// Delay delays every datagram by Base and a random part of Jitter.
type Delay struct{ Base, Jitter time.Duration }

// Reorder delays a share of the datagrams by up to By, so that later ones
// overtake them.
type Reorder struct {
	Share float64
	By    time.Duration
}

func (Drop) fault()      {}
func (Duplicate) fault() {}
func (Delay) fault()     {}
func (Reorder) fault()   {}

// plan returns the delays of the copies of one datagram; none means that it is
// lost.
func plan(rnd *rand.Rand, faults []Fault) []time.Duration {
	copies := []time.Duration{0}
	for _, f := range faults {
		switch f := f.(type) {
		case Drop:
			if rnd.Float64() < f.Share {
				return nil
			}
		case Duplicate:
			if rnd.Float64() < f.Share {
				copies = append(copies, copies[0])
			}
		case Delay:
			addDelay(copies, func() time.Duration { return f.Base + randomUpTo(rnd, f.Jitter) })
		case Reorder:
			addDelay(copies, func() time.Duration {
				if rnd.Float64() >= f.Share {
					return 0
				}
				return randomUpTo(rnd, f.By)
			})
		}
	}
	return copies
}

func addDelay(copies []time.Duration, by func() time.Duration) {
	for i := range copies {
		copies[i] += by()
	}
}

func randomUpTo(rnd *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rnd.Int64N(int64(d)))
}
