package model

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
)

// ObjectKind is the kind of an object that operators edit.
type ObjectKind uint8

// Kinds of objects.
const (
	ObjectTemplate ObjectKind = iota
	ObjectCustomer
)

var objectKindNames = [...]string{ObjectTemplate: "template", ObjectCustomer: "customer"}

// String returns the name used in the log of changes.
func (k ObjectKind) String() string {
	if int(k) < len(objectKindNames) {
		return objectKindNames[k]
	}
	return "invalid"
}

// ParseObjectKind returns the kind with the given name.
func ParseObjectKind(s string) (ObjectKind, bool) {
	i := slices.Index(objectKindNames[:], s)
	return ObjectKind(max(i, 0)), i >= 0
}

// Object identifies a template or a customer. It can be a map key.
type Object struct {
	Kind ObjectKind
	Name string
}

// String returns the kind and the name.
func (o Object) String() string { return o.Kind.String() + " " + o.Name }

// Content is what an object holds: a Template or Params.
//
//sumtype:decl
type Content interface{ content() }

func (Template) content() {}
func (Params) content()   {}

// ObjectOf returns the object that holds the content.
func ObjectOf(c Content) Object {
	switch c := c.(type) {
	case Template:
		return Object{Kind: ObjectTemplate, Name: c.Name}
	case Params:
		return Object{Kind: ObjectCustomer, Name: c.Customer}
	default:
		return Object{}
	}
}

// Edit records the last accepted edit of an object. It is immutable.
type Edit struct {
	Object Object
	// Revision is the position of the edit in the log.
	Revision uint64
	// ID is unique to the edit.
	ID     string
	Author string
	// Before is the content that the edit replaced; nil when the object did
	// not exist.
	Before Content
}

// Parts are the contents of a configuration, for encoders.
type Parts struct {
	Revision  uint64
	Templates []Template
	Params    []Params
	Released  map[netip.AddrPort]Release
	Edits     []Edit
}

// NewConfig builds a configuration from its parts. Adding 1,200 customers one
// by one would copy the map 1,200 times.
func NewConfig(p Parts) Config {
	c := Config{
		Revision:  p.Revision,
		templates: make(map[string]Template, len(p.Templates)),
		params:    make(map[string]Params, len(p.Params)),
		released:  maps.Clone(p.Released),
		edits:     make(map[Object]Edit, len(p.Edits)),
	}
	for _, t := range p.Templates {
		c.templates[t.Name] = t
	}
	for _, v := range p.Params {
		c.params[v.Customer] = v
	}
	for _, e := range p.Edits {
		c.edits[e.Object] = e
	}
	return c
}

// Parts returns the contents in a fixed order.
func (c Config) Parts() Parts {
	p := Parts{Revision: c.Revision, Released: c.Releases(), Edits: c.LastEdits()}
	for _, name := range c.TemplateNames() {
		p.Templates = append(p.Templates, c.templates[name])
	}
	for _, name := range c.CustomerNames() {
		p.Params = append(p.Params, c.params[name])
	}
	return p
}

// Content returns what the object holds, or nil when it does not exist.
func (c Config) Content(o Object) Content {
	switch o.Kind {
	case ObjectTemplate:
		if t, ok := c.templates[o.Name]; ok {
			return t
		}
	case ObjectCustomer:
		if p, ok := c.params[o.Name]; ok {
			return p
		}
	}
	return nil
}

// WithContent returns a copy in which the object holds v; nil removes it.
func (c Config) WithContent(o Object, v Content) Config {
	switch v := v.(type) {
	case Template:
		return c.WithTemplate(v)
	case Params:
		return c.WithParams(v)
	default:
		if o.Kind == ObjectTemplate {
			return c.WithoutTemplate(o.Name)
		}
		return c.WithoutParams(o.Name)
	}
}

// LastEdit returns the last edit of an object. The record is kept after a
// deletion, so that the deletion can be backed out.
func (c Config) LastEdit(o Object) (Edit, bool) {
	e, ok := c.edits[o]
	return e, ok
}

// LastEdits returns the last edit of each object in order of revision.
func (c Config) LastEdits() []Edit {
	return slices.SortedFunc(maps.Values(c.edits), func(a, b Edit) int { return cmp.Compare(a.Revision, b.Revision) })
}

// WithEdit returns a copy that records the edit.
func (c Config) WithEdit(e Edit) Config {
	c.edits = with(c.edits, e.Object, e)
	return c
}

// WithoutEdits returns a copy that lacks the edits for which drop is true.
func (c Config) WithoutEdits(drop func(Edit) bool) Config {
	m := maps.Clone(c.edits)
	maps.DeleteFunc(m, func(_ Object, e Edit) bool { return drop(e) })
	c.edits = m
	return c
}

// Sorted returns a copy with the classes in order of port.
func (t Template) Sorted() Template {
	t.Classes = slices.SortedFunc(slices.Values(t.Classes), func(a, b Class) int { return cmp.Compare(a.Port, b.Port) })
	return t
}

// Sorted returns a copy with the upstreams in order of name.
func (p Params) Sorted() Params {
	p.Upstreams = slices.SortedFunc(slices.Values(p.Upstreams), compareUpstreams)
	return p
}
