// Package probe tracks the pings that have not been answered yet.
package probe

import (
	"slices"
	"time"

	"egretdock/core/model"
)

// Purpose is the reason for an outstanding ping.
//
//sumtype:decl
type Purpose interface{ purpose() }

// Direct checks a live balancer; it becomes Indirect when unanswered.
type Direct struct{}

// Indirect is a Direct probe that other balancers repeat. If it stays
// unanswered, the target is suspected.
type Indirect struct{}

// Contact pings a balancer without consequences if it does not answer.
type Contact struct{}

// Relayed checks a balancer on behalf of Origin.
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
	// Sent is when the first ping was sent, plus any delay.
	Sent    time.Time
	Purpose Purpose
}

// WithPurpose returns a copy with another purpose.
func (p Probe) WithPurpose(purpose Purpose) Probe {
	p.Purpose = purpose
	return p
}

// WithDelay returns a copy that counts as sent later by d.
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
// answers. It reports false when there is none.
func (t *Table) Answer(seq uint64, name string) (Probe, bool) {
	for i, p := range t.probes {
		if p.Seq == seq && p.Target.Name == name {
			t.probes = slices.Delete(t.probes, i, i+1)
			return p, true
		}
	}
	return Probe{}, false
}

// Expire returns the unanswered Direct probes sent by directBefore and the
// Indirect probes sent by totalBefore. The former become Indirect; of the other
// probes, all sent by totalBefore are removed.
func (t *Table) Expire(directBefore, totalBefore time.Time) (unanswered, timedOut []Probe) {
	kept := t.probes[:0]
	for _, p := range t.probes {
		switch p.Purpose.(type) {
		case Direct:
			if !p.Sent.After(directBefore) {
				unanswered = append(unanswered, p)
				p = p.WithPurpose(Indirect{})
			}
		case Indirect:
			if !p.Sent.After(totalBefore) {
				timedOut = append(timedOut, p)
				continue
			}
		case Contact, Relayed:
			if !p.Sent.After(totalBefore) {
				continue
			}
		}
		kept = append(kept, p)
	}
	t.probes = kept
	return unanswered, timedOut
}

// Delay makes all probes count as sent later by d.
func (t *Table) Delay(d time.Duration) {
	for i, p := range t.probes {
		t.probes[i] = p.WithDelay(d)
	}
}

// Clear removes all probes.
func (t *Table) Clear() { t.probes = nil }
