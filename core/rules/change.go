// Package rules decides which edits are accepted and what they do to the
// configuration. Its functions are deterministic: the same change applied to the
// same configuration gives the same result on every balancer.
package rules

import "egretdock/core/model"

// Body is the kind of a change together with its content.
//
//sumtype:decl
type Body interface{ body() }

// PutTemplate adds or replaces a template.
type PutTemplate struct{ Template model.Template }

// PutParams adds or replaces a customer's parameters.
type PutParams struct{ Params model.Params }

// Delete removes an object.
type Delete struct{ Object model.Object }

// BackOut restores what an object held before its last edit.
type BackOut struct {
	// Undo is the revision of the edit to undo; it must be the last edit of
	// Object.
	Undo   uint64
	Object model.Object
}

func (*PutTemplate) body() {}
func (*PutParams) body()   {}
func (*Delete) body()      {}
func (*BackOut) body()     {}

// Change is one entry of the log. It is immutable.
type Change struct {
	// Revision is the position in the log; revisions have no gaps.
	Revision uint64
	// ID is unique to the edit and stays the same when its write is repeated.
	ID     string
	Author string
	// Base is the revision of the log that the author has seen. The change
	// conflicts with an edit of the same object after Base.
	Base uint64
	// Confirmed is the revision that every balancer had acknowledged when the
	// change was accepted. All balancers remove the release records up to it.
	Confirmed uint64
	Body      Body
}

// WithRevision returns a copy at another position in the log.
func (c Change) WithRevision(n uint64) Change {
	c.Revision = n
	return c
}

// WithConfirmed returns a copy with another confirmed revision.
func (c Change) WithConfirmed(n uint64) Change {
	c.Confirmed = n
	return c
}

// Object returns the object that the change edits.
func (c Change) Object() model.Object {
	switch b := c.Body.(type) {
	case *PutTemplate:
		return model.ObjectOf(b.Template)
	case *PutParams:
		return model.ObjectOf(b.Params)
	case *Delete:
		return b.Object
	case *BackOut:
		return b.Object
	default:
		return model.Object{}
	}
}

// Kind returns the name of the kind in snake case.
func (c Change) Kind() string {
	switch c.Body.(type) {
	case *PutTemplate:
		return "put_template"
	case *PutParams:
		return "put_params"
	case *Delete:
		return "delete"
	case *BackOut:
		return "back_out"
	default:
		return "invalid"
	}
}
