package model

// ClassKind tells how the flows of a class use an upstream.
type ClassKind uint8

// Class kinds.
const (
	// KindRequest holds an upstream slot from forwarding until the answer.
	KindRequest ClassKind = iota
	// KindFeed is a long-lived flow of pushed messages; it holds no slot.
	KindFeed
	// KindUpload sends data chunks without a slot, then one final request
	// that holds a slot.
	KindUpload
)

var classKindNames = [...]string{KindRequest: "request", KindFeed: "feed", KindUpload: "upload"}

// String returns the name used in templates.
func (k ClassKind) String() string {
	if int(k) < len(classKindNames) {
		return classKindNames[k]
	}
	return "invalid"
}

// ParseClassKind returns the kind with the given name.
func ParseClassKind(s string) (ClassKind, bool) {
	for k, name := range classKindNames {
		if name == s {
			return ClassKind(k), true
		}
	}
	return 0, false
}

// Class is one kind of work within a template. It is immutable.
type Class struct {
	// Name is unique within its template.
	Name string
	// Port is unique within its template and selects the class of a packet.
	Port uint16
	// Kind tells how flows of the class use an upstream.
	Kind ClassKind
	// Priority orders classes that compete for unused capacity; higher first.
	Priority uint8
	// MinShare is the guaranteed share of an upstream's slots, from 0 to 1.
	// The shares of one template add up to at most 1.
	MinShare float64
	// Idempotent is true when a request may run more than once.
	Idempotent bool
	// QueueLimit bounds the items that wait per upstream; 0 selects
	// DefaultQueueLimit.
	QueueLimit int
}

// DefaultQueueLimit is the number of items of one class that may wait per
// upstream when the template sets no limit. At 2 slots and 20 ms a request, 16
// items wait at most 160 ms.
const DefaultQueueLimit = 16

// EffectiveQueueLimit returns the queue limit with its default applied.
func (c Class) EffectiveQueueLimit() int {
	if c.QueueLimit <= 0 {
		return DefaultQueueLimit
	}
	return c.QueueLimit
}

// WithPriority returns a copy of the class with another priority.
func (c Class) WithPriority(u uint8) Class {
	c.Priority = u
	return c
}
