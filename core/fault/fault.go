// Package fault defines the typed errors of egretdock. Each error has a kind
// that programs can branch on and a remedy that the operator can act on.
package fault

import "github.com/go-faster/errors"

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	KindInternal Kind = iota
	KindInvalid
	KindConflict
	KindQuarantined
	KindNotFound
	KindUnavailable
	KindUnknownOutcome
	KindNotRun
	KindUnauthentic
)

var kindNames = [...]string{
	KindInternal:       "internal",
	KindInvalid:        "invalid",
	KindConflict:       "conflict",
	KindQuarantined:    "quarantined",
	KindNotFound:       "not_found",
	KindUnavailable:    "unavailable",
	KindUnknownOutcome: "unknown_outcome",
	KindNotRun:         "not_run",
	KindUnauthentic:    "unauthentic",
}

// String returns the name of the kind in snake case.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "internal"
}

// Error is an error with a kind and a remedy.
type Error struct {
	// Kind is never changed after construction.
	Kind Kind
	// Message says what failed, with the values involved.
	Message string
	// Remedy says what the reader can do; empty only for KindInternal.
	Remedy string
	// Cause is the wrapped error, or nil.
	Cause error
}

// New returns an error of the given kind.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Wrap returns an error of the given kind that wraps cause.
func Wrap(cause error, kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy, Cause: cause}
}

// Error returns the message, the cause and the remedy on one line.
func (e *Error) Error() string {
	s := e.Message
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the first fault in the chain of err, or
// KindInternal when there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}
