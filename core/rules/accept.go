package rules

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"egretdock/core/model"
)

// Ack is the configuration revision that one balancer of the host list has
// acknowledged; 0 when nothing is known of it.
type Ack struct {
	Balancer, DataCentre string
	Revision             uint64
}

// Acks hold one entry for each balancer on the platform's host list.
type Acks []Ack

// ConfirmedRevision returns the highest revision up to top that all balancers
// have acknowledged.
func (a Acks) ConfirmedRevision(top uint64) uint64 {
	for _, k := range a {
		top = min(top, k.Revision)
	}
	return top
}

// Lagging returns the balancers that have not acknowledged the revision, sorted
// by name.
func (a Acks) Lagging(rev uint64) []string {
	var out []string
	for _, k := range a {
		if k.Revision < rev {
			out = append(out, fmt.Sprintf("%s (%s, revision %d)", k.Balancer, k.DataCentre, k.Revision))
		}
	}
	slices.Sort(out)
	return out
}

// Accept checks an edit against the configuration at the end of the log. It
// returns the change to append to the log and the configuration after it.
func Accept(cfg model.Config, c Change, acks Acks) (Change, model.Config, error) {
	c = c.WithRevision(cfg.Revision + 1).WithConfirmed(acks.ConfirmedRevision(cfg.Revision))
	next, err := Apply(cfg, c)
	if err != nil {
		return c, cfg, err
	}
	o := c.Object()
	if err := checkQuarantine(cfg, claimsOf(cfg.Content(o)), claimsOf(next.Content(o)), acks); err != nil {
		return c, cfg, err
	}
	return c, next, nil
}

// checkQuarantine refuses endpoints and addresses that a balancer at an older
// revision may still use for an earlier holder.
func checkQuarantine(cfg model.Config, before, after claims, acks Acks) error {
	taken := make([]netip.AddrPort, 0, len(after.addresses))
	for a := range after.addresses {
		if !before.addresses[a] {
			taken = append(taken, a)
		}
	}
	slices.SortFunc(taken, func(a, b netip.AddrPort) int {
		return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Port(), b.Port()))
	})
	for _, a := range taken {
		r, ok := cfg.Release(a)
		if !ok || r.Holder == after.holder {
			continue
		}
		if lagging := acks.Lagging(r.Revision); len(lagging) > 0 {
			return newError("", InQuarantine{Address: a, Release: r, Lagging: lagging})
		}
	}
	return nil
}
