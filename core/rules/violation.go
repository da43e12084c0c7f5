package rules

import (
	"fmt"
	"net/netip"
	"strings"

	"egretdock/core/fault"
	"egretdock/core/model"
)

// Violation says which rule an edit breaks.
//
//sumtype:decl
type Violation interface{ violation() }

// Violations.
type (
	// UnknownTemplate is a customer whose template does not exist.
	UnknownTemplate struct{ Customer, Template string }
	// TemplateInUse is the deletion of a template that customers refer to.
	TemplateInUse struct {
		Template  string
		Customers []string
	}
	// UnknownObject is a change of an object that does not exist.
	UnknownObject struct{ Object model.Object }
	// AddressUsed is a service address that another customer uses.
	AddressUsed struct {
		Address netip.Addr
		By      string
	}
	// EndpointUsed is an upstream endpoint that another upstream or a service
	// address uses.
	EndpointUsed struct {
		Endpoint netip.AddrPort
		By       string
	}
	// NameUsed is an upstream name that another customer uses for a different
	// upstream.
	NameUsed struct{ Upstream, By string }
	// NoUpstreams is a customer without upstreams.
	NoUpstreams struct{ Customer string }
	// Duplicate is a value that occurs twice where it must be unique.
	Duplicate struct{ Field, Value string }
	// ShareSum is a set of guaranteed shares whose sum exceeds 1.
	ShareSum struct {
		Template string
		Sum      float64
	}
	// PriorityConflict is a customer's override that reverses the order of
	// two classes in the template.
	PriorityConflict struct{ Customer, Class, Above string }
	// InvalidValue is a value outside its range.
	InvalidValue struct{ Field, Value, Want string }
	// TemplateMoved is a customer that changes its template in place.
	TemplateMoved struct{ Customer, From, To string }
	// InQuarantine is an endpoint or address that some balancers may still
	// use for its earlier holder.
	InQuarantine struct {
		Address netip.AddrPort
		Release model.Release
		Lagging []string
	}
	// BaseConflict is an edit of an object that somebody else edited after the
	// revision that the author has seen.
	BaseConflict struct {
		Mine       Change
		Theirs     model.Edit
		MineText   string
		TheirsText string
	}
	// Superseded is a back-out of an edit that is not the last of its object.
	Superseded struct {
		Undo uint64
		Last model.Edit
	}
	// OutOfOrder is a change whose revision does not follow the
	// configuration's.
	OutOfOrder struct{ Have, Got uint64 }
)

func (UnknownTemplate) violation()  {}
func (TemplateInUse) violation()    {}
func (UnknownObject) violation()    {}
func (AddressUsed) violation()      {}
func (EndpointUsed) violation()     {}
func (NameUsed) violation()         {}
func (NoUpstreams) violation()      {}
func (Duplicate) violation()        {}
func (ShareSum) violation()         {}
func (PriorityConflict) violation() {}
func (InvalidValue) violation()     {}
func (TemplateMoved) violation()    {}
func (InQuarantine) violation()     {}
func (BaseConflict) violation()     {}
func (Superseded) violation()       {}
func (OutOfOrder) violation()       {}

// Error is a refused edit. It wraps a fault.Error.
type Error struct {
	Violation Violation
	// Path is the location in the object as a JSON pointer, such as
	// "/classes/0/port"; empty for the whole object.
	Path string
}

// Error returns the message and the remedy.
func (e *Error) Error() string { return explain(e.Violation).Error() }

// Unwrap returns the error as a fault with its kind.
func (e *Error) Unwrap() error { return explain(e.Violation) }

// Fault returns the message, kind and remedy.
func (e *Error) Fault() *fault.Error { return explain(e.Violation) }

func newError(path string, v Violation) error { return &Error{Violation: v, Path: path} }

func explain(v Violation) *fault.Error {
	invalid := func(remedy, format string, args ...any) *fault.Error {
		return fault.New(fault.KindInvalid, fmt.Sprintf(format, args...), remedy)
	}
	switch v := v.(type) {
	case UnknownTemplate:
		return invalid("apply the template first, or correct the name", "customer %s refers to unknown template %s", v.Customer, v.Template)
	case TemplateInUse:
		return invalid("delete these customers first", "template %s is used by customers %s", v.Template, strings.Join(v.Customers, ", "))
	case UnknownObject:
		return fault.New(fault.KindNotFound, v.Object.String()+" does not exist", "run egretdock status to see the objects")
	case AddressUsed:
		return invalid("choose an address that no customer has", "address %s is used by customer %s", v.Address, v.By)
	case EndpointUsed:
		return invalid("choose another endpoint, or remove it there first", "endpoint %s is used by %s", v.Endpoint, v.By)
	case NameUsed:
		return invalid("give the upstream another name, or the same endpoint and data centre in both places", "upstream name %s is used for another upstream of %s", v.Upstream, v.By)
	case NoUpstreams:
		return invalid("list at least one upstream, or delete the customer", "customer %s has no upstreams", v.Customer)
	case Duplicate:
		return invalid("keep one of them", "%s %s occurs twice", v.Field, v.Value)
	case ShareSum:
		return invalid("lower min_share of some classes", "guaranteed shares of template %s add up to %.3f, above 1", v.Template, v.Sum)
	case PriorityConflict:
		return invalid("lower the override, or change the order in the template", "customer %s would serve class %s before %s, which the template puts first", v.Customer, v.Class, v.Above)
	case InvalidValue:
		return invalid("use "+v.Want, "%s has value %q", v.Field, v.Value)
	case TemplateMoved:
		return invalid("delete the customer, and create it again once all balancers have confirmed", "customer %s cannot move from template %s to %s in one edit", v.Customer, v.From, v.To)
	case InQuarantine:
		return fault.New(fault.KindQuarantined, fmt.Sprintf("%s was released by %s at revision %d and %d balancers have not confirmed it: %s",
			describeAddress(v.Address), describeHolder(v.Release.Holder), v.Release.Revision, len(v.Lagging), strings.Join(v.Lagging, ", ")),
			"wait until these balancers catch up or leave the host list, then apply again, or choose another address")
	case BaseConflict:
		return fault.New(fault.KindConflict, fmt.Sprintf("%s was edited at revision %d by %s (edit %s: %s), after revision %d on which edit %s by %s is based (%s)",
			v.Theirs.Object, v.Theirs.Revision, v.Theirs.Author, v.Theirs.ID, v.TheirsText, v.Mine.Base, v.Mine.ID, v.Mine.Author, v.MineText),
			fmt.Sprintf("run egretdock diff, merge both edits in the file and apply with -base %d", v.Theirs.Revision))
	case Superseded:
		return fault.New(fault.KindConflict, fmt.Sprintf("the edit at revision %d is not the last edit of %s, which is revision %d by %s (edit %s)",
			v.Undo, v.Last.Object, v.Last.Revision, v.Last.Author, v.Last.ID),
			fmt.Sprintf("back out revision %d first, or apply the wanted state as a new edit", v.Last.Revision))
	case OutOfOrder:
		return fault.New(fault.KindConflict, fmt.Sprintf("change %d does not follow revision %d", v.Got, v.Have), "read the log again")
	default:
		return fault.New(fault.KindInternal, "unknown violation", "")
	}
}

func describeAddress(a netip.AddrPort) string {
	if a.Port() == 0 {
		return "address " + a.Addr().String()
	}
	return "endpoint " + a.String()
}

func describeHolder(s string) string {
	if s == "" {
		return "several customers"
	}
	return s
}
