// Package probe keeps the pings that have not been answered yet.
package probe

import (
	"slices"
	"time"

	"egretdock/core/model"
)

// Purpose says what an outstanding ping is for.
//
//sumtype:decl
type Purpose interface{ purpose() }

// Direct verifies a live balancer; it becomes Indirect when unanswered.
type Direct struct{}

// Indirect is a Direct probe that others repeat; unanswered, it leads to
// suspicion.
type Indirect struct{}

// Contact tries a balancer whose silence means nothing.
type Contact struct{}

// Relayed verifies a balancer on behalf of another.
type Relayed struct {
	Origin model.Balancer
	// Seq is the sequence number of Origin's request.
	Seq uint64
}

func (Direct) purpose()   {}
func (Indirect) purpose() {}
func (Contact) purpose()  {}
func (Relayed) purpose()  {}

// Probe is an outstanding ping. It is immutable.
type Probe struct {
	Seq    uint64
	Target model.Balancer
	// Sent is when the first ping was sent.
	Sent time.Time
	Purpose  Purpose
}

// WithPurpose returns a copy with another purpose.
func (p Probe) WithPurpose(why Purpose) Probe {
	p.Purpose = why
	return p
}

// WithDelay returns a copy that counts as sent later.
func (p Probe) WithDelay(d time.Duration) Probe {
	p.Sent = p.Sent.Add(d)
	return p
}

// Table holds the outstanding probes. The zero value is empty. It is not safe
// for concurrent use.
type Table struct {
	probes []Probe
}

// Add records a probe.
func (t *Table) Add(p Probe) { t.probes = append(t.probes, p) }

// Answer removes and returns the probe that an ack of the named balancer
// belongs to. It reports false when there is none.
func (t *Table) Answer(seq uint64, name string) (Probe, bool) {
	for i, p := range t.probes {
		if p.Seq == seq && p.Target.Name == name {
			t.probes = slices.Delete(t.probes, i, i+1)
			return p, true
		}
	}
	return Probe{}, false
}

// Expire returns the probes to be repeated by others, sent before direct, and
// the silent ones, sent before total. The former become Indirect; all others
// sent before total are removed.
func (t *Table) Expire(direct, total time.Time) (repeat, silent []Probe) {
	kept := t.probes[:0]
	for _, p := range t.probes {
		switch p.Purpose.(type) {
		case Direct:
			if !p.Sent.After(direct) {
				repeat = append(repeat, p)
				p = p.WithPurpose(Indirect{})
			}
		case Indirect:
			if !p.Sent.After(total) {
				silent = append(silent, p)
				continue
			}
		case Contact, Relayed:
			if !p.Sent.After(total) {
				continue
			}
		}
		kept = append(kept, p)
	}
	t.probes = kept
	return repeat, silent
}

// Delay makes all probes count as sent later.
func (t *Table) Delay(d time.Duration) {
	for i, p := range t.probes {
		t.probes[i] = p.WithDelay(d)
	}
}

// Clear removes all probes.
func (t *Table) Clear() { t.probes = nil }
