package rules

import (
	"net/netip"
	"strings"

	"egretdock/core/model"
)

// tombstoneRevisions is the number of revisions for which the record of a
// deleted object is kept. At 4,700 changes a day, a deletion can be backed out
// for two days.
const tombstoneRevisions = 10000

// Apply checks the change and returns the configuration after it. It checks
// everything but the quarantine, which depends on what balancers had confirmed
// when the change was accepted.
func Apply(cfg model.Config, c Change) (model.Config, error) {
	next, err := Replay(cfg, c)
	if err != nil {
		return cfg, err
	}
	o := c.Object()
	before := cfg.Content(o)
	after, err := contentAfter(cfg, c)
	if err != nil {
		return cfg, err
	}
	if err := checkBase(cfg, c, before, after); err != nil {
		return cfg, err
	}
	if err := validate(next, before, after); err != nil {
		return cfg, err
	}
	return next, nil
}

// Replay returns the configuration after a change that was accepted before. It
// does not check the change again, so that a version with stricter rules can
// follow the same log.
func Replay(cfg model.Config, c Change) (model.Config, error) {
	if c.Revision != cfg.Revision+1 {
		return cfg, newError("", OutOfOrder{Have: cfg.Revision, Got: c.Revision})
	}
	after, err := contentAfter(cfg, c)
	if err != nil {
		return cfg, err
	}
	o := c.Object()
	before := cfg.Content(o)
	next := cfg.WithContent(o, sorted(after)).WithRevision(c.Revision)
	next = next.WithEdit(model.Edit{Object: o, Revision: c.Revision, ID: c.ID, Author: c.Author, Before: before})
	next = next.WithoutEdits(func(e model.Edit) bool {
		return e.Revision+tombstoneRevisions < c.Revision && next.Content(e.Object) == nil
	})
	return updateReleases(next, c, claimsOf(before), claimsOf(after)), nil
}

// sorted returns the content with its lists in the order that the model
// requires. The checks run on the author's order, to which the indices in error
// paths refer.
func sorted(v model.Content) model.Content {
	switch v := v.(type) {
	case model.Template:
		return v.Sorted()
	case model.Params:
		return v.Sorted()
	default:
		return nil
	}
}

// contentAfter returns the content of the object after the change.
func contentAfter(cfg model.Config, c Change) (model.Content, error) {
	switch b := c.Body.(type) {
	case *PutTemplate:
		return b.Template, nil
	case *PutParams:
		return b.Params, nil
	case *Delete:
		if cfg.Content(b.Object) == nil {
			return nil, newError("", UnknownObject{Object: b.Object})
		}
		return nil, nil
	case *BackOut:
		last, ok := cfg.LastEdit(b.Object)
		switch {
		case !ok:
			return nil, newError("", UnknownObject{Object: b.Object})
		case last.Revision != b.Undo:
			return nil, newError("", Superseded{Undo: b.Undo, Last: last})
		}
		return last.Before, nil
	default:
		return nil, newError("", InvalidValue{Field: "kind of change", Value: c.Kind(), Want: "a kind that this version supports"})
	}
}

// checkBase refuses an edit whose author has not seen the last edit of the
// object. A back-out needs no base, since it names that edit.
func checkBase(cfg model.Config, c Change, before, after model.Content) error {
	if _, ok := c.Body.(*BackOut); ok {
		return nil
	}
	last, ok := cfg.LastEdit(c.Object())
	if !ok || last.Revision <= c.Base {
		return nil
	}
	return newError("", BaseConflict{
		Mine: c, Theirs: last,
		MineText:   summary(before, after),
		TheirsText: summary(last.Before, before),
	})
}

func summary(before, after model.Content) string {
	if d := Describe(before, after); len(d) > 0 {
		return strings.Join(d, ", ")
	}
	return "no difference"
}

// claims are the endpoints and the service address (with port 0) that one
// customer uses.
type claims struct {
	holder    string
	addresses map[netip.AddrPort]bool
}

func claimsOf(v model.Content) claims {
	p, ok := v.(model.Params)
	if !ok {
		return claims{}
	}
	out := claims{holder: p.Template + "/" + p.Customer, addresses: make(map[netip.AddrPort]bool, len(p.Upstreams)+1)}
	out.addresses[netip.AddrPortFrom(p.Address, 0)] = true
	for _, u := range p.Upstreams {
		out.addresses[u.Endpoint] = true
	}
	return out
}

// updateReleases updates the release records: addresses that the change
// released get one, addresses that it took lose theirs, and records that all
// balancers confirmed are removed.
func updateReleases(cfg model.Config, c Change, before, after claims) model.Config {
	for a, r := range cfg.Releases() {
		if r.Revision <= c.Confirmed {
			cfg = cfg.WithoutRelease(a)
		}
	}
	for a := range after.addresses {
		if _, ok := cfg.Release(a); ok && !before.addresses[a] {
			cfg = cfg.WithoutRelease(a)
		}
	}
	for a := range before.addresses {
		if after.addresses[a] {
			continue
		}
		r := model.Release{Holder: before.holder, Revision: c.Revision}
		if old, ok := cfg.Release(a); ok && old.Holder != r.Holder {
			r.Holder = ""
		}
		cfg = cfg.WithRelease(a, r)
	}
	return cfg
}
