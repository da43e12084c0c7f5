// Package upstr is a stand-in for an upstream: it keeps connections, runs a
// limited number of requests at a time, sheds load, drains and restarts.
package upstr

import (
	"net/netip"
	"time"

	"egretdock/core/model"
)

// Behaviour describes how the stand-in serves one port.
type Behaviour struct {
	Kind model.ClassKind
	// ServiceTime is how long a request occupies a slot.
	ServiceTime time.Duration
	// Jitter is the share of ServiceTime that varies at random, from 0 to 1.
	Jitter float64
	// PushEvery is the interval of pushed messages on a feed.
	PushEvery time.Duration
	// AnswerBytes is the length of an answer; at least 8.
	AnswerBytes int
}

// Config describes one stand-in. Zero fields select the defaults.
type Config struct {
	Name string
	// Service is the name of the template that the stand-in serves.
	Service string
	// Addresses are the service addresses that the stand-in serves; packets for
	// others are counted as misrouted.
	Addresses map[netip.Addr]bool
	// Listen receives flow packets; Health serves reports over HTTP. Port 0
	// selects a free port.
	Listen, Health netip.AddrPort
	// Slots bounds the requests that run at a time; default 2.
	Slots int
	// MaxConnections bounds the open connections; default 4000.
	MaxConnections int
	// QueueLimit bounds the requests that wait for a slot; default 8.
	QueueLimit int
	// IdleTimeout is the idle time after which a connection is dropped; default
	// 30 s.
	IdleTimeout time.Duration
	// ReportLag is how long the health endpoint serves the same report.
	ReportLag time.Duration
	// Behaviours are keyed by port.
	Behaviours map[uint16]Behaviour
	// IsCut reports whether the network drops packets to and from a balancer; nil
	// drops none.
	IsCut func(balancer netip.Addr) bool
	// Journal records executions and accepted flows; may be nil.
	Journal *Journal
	// Seed seeds the random source.
	Seed uint64
}

func (c Config) withDefaults() Config {
	def := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	def(&c.Slots, 2)
	def(&c.MaxConnections, 4000)
	def(&c.QueueLimit, 8)
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 30 * time.Second
	}
	if c.IsCut == nil {
		c.IsCut = func(netip.Addr) bool { return false }
	}
	if c.Journal == nil {
		c.Journal = &Journal{}
	}
	return c
}
