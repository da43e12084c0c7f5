// Package upstr simulates an upstream: it holds connections, runs requests in a
// limited number of slots, sheds load, drains and restarts like a real one.
package upstr

import (
	"net/netip"
	"time"

	"egretdock/core/model"
)

// Behaviour is what the stand-in does on one port.
type Behaviour struct {
	Kind model.ClassKind
	// Service is the time that a request holds a slot.
	Service time.Duration
	// Jitter is the part of Service that varies, from 0 to 1.
	Jitter float64
	// PushEvery is the interval of pushed messages on a feed.
	PushEvery time.Duration
	// AnswerBytes is the length of an answer; at least 8.
	AnswerBytes int
}

// Config describes one stand-in. Zero fields select the defaults.
type Config struct {
	Name string
	// Service is the template name that the stand-in serves; a packet for
	// another is a misrouted packet.
	Service string
	// Addresses are the service addresses that may reach this upstream.
	Addresses map[netip.Addr]bool
	// Listen receives flow packets; Health serves reports over HTTP. Port 0
	// selects a free port.
	Listen, Health netip.AddrPort
	// Slots is the number of requests that run at one time; default 2.
	Slots int
	// Connections bounds the open connections; default 4000.
	Connections int
	// Queue bounds the requests that wait for a slot; default 8.
	Queue int
	// Idle is the silence after which a connection is dropped; default 30 s.
	Idle time.Duration
	// ReportLag is the age of the report that the health endpoint serves.
	ReportLag time.Duration
	// Behaviours are keyed by port.
	Behaviours map[uint16]Behaviour
	// Cut reports whether the network drops packets to and from a balancer; nil
	// drops none.
	Cut func(balancer netip.Addr) bool
	// Journal records what ran; may be nil.
	Journal *Journal
	// Seed starts the random source.
	Seed uint64
}

func (c Config) withDefaults() Config {
	def := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	def(&c.Slots, 2)
	def(&c.Connections, 4000)
	def(&c.Queue, 8)
	if c.Idle <= 0 {
		c.Idle = 30 * time.Second
	}
	if c.Cut == nil {
		c.Cut = func(netip.Addr) bool { return false }
	}
	if c.Journal == nil {
		c.Journal = &Journal{}
	}
	return c
}
