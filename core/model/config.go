// Package model holds the immutable values that the other packages share.
// Values are changed only by With methods, which return a copy.
package model

import (
	"maps"
	"net/netip"
	"slices"
)

// Config is the configuration in force at one revision. It is immutable; the
// zero value is the empty configuration at revision 0.
type Config struct {
	// Revision is the number of the last change applied.
	Revision uint64

	templates map[string]Template
	params    map[string]Params
	released  map[netip.AddrPort]Release
	edits     map[Object]Edit
}

// Release records that an endpoint or address stopped serving its holder. It
// must not be given to another holder before all live balancers confirm
// Revision.
type Release struct {
	// Holder is "template/customer", for an upstream endpoint and for a service
	// address (recorded with port 0); empty when it had several holders, none
	// of which may take it back before all balancers confirm.
	Holder string
	// Revision is the revision that released it.
	Revision uint64
}

// Template returns the named template.
func (c Config) Template(name string) (Template, bool) {
	t, ok := c.templates[name]
	return t, ok
}

// Params returns the parameters of the named customer.
func (c Config) Params(customer string) (Params, bool) {
	p, ok := c.params[customer]
	return p, ok
}

// TemplateNames returns the template names, sorted.
func (c Config) TemplateNames() []string { return slices.Sorted(maps.Keys(c.templates)) }

// CustomerNames returns the customer names, sorted.
func (c Config) CustomerNames() []string { return slices.Sorted(maps.Keys(c.params)) }

// Release returns the release record of an endpoint or address.
func (c Config) Release(a netip.AddrPort) (Release, bool) {
	r, ok := c.released[a]
	return r, ok
}

// Releases returns a copy of all release records.
func (c Config) Releases() map[netip.AddrPort]Release { return maps.Clone(c.released) }

// WithRevision returns a copy at another revision.
func (c Config) WithRevision(n uint64) Config {
	c.Revision = n
	return c
}

// WithTemplate returns a copy with the template added or replaced.
func (c Config) WithTemplate(t Template) Config {
	c.templates = with(c.templates, t.Name, t)
	return c
}

// WithoutTemplate returns a copy without the named template.
func (c Config) WithoutTemplate(name string) Config {
	c.templates = without(c.templates, name)
	return c
}

// WithParams returns a copy with the customer's parameters added or replaced.
func (c Config) WithParams(p Params) Config {
	c.params = with(c.params, p.Customer, p)
	return c
}

// WithoutParams returns a copy without the named customer.
func (c Config) WithoutParams(customer string) Config {
	c.params = without(c.params, customer)
	return c
}

// WithRelease returns a copy that records the release of an endpoint or
// address.
func (c Config) WithRelease(a netip.AddrPort, r Release) Config {
	c.released = with(c.released, a, r)
	return c
}

// WithoutRelease returns a copy without the release record.
func (c Config) WithoutRelease(a netip.AddrPort) Config {
	c.released = without(c.released, a)
	return c
}

func with[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	out := make(map[K]V, len(m)+1)
	maps.Copy(out, m)
	out[k] = v
	return out
}

func without[K comparable, V any](m map[K]V, k K) map[K]V {
	out := maps.Clone(m)
	delete(out, k)
	return out
}
