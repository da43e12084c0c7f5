package client

import (
	"fmt"
	"time"

	"egretdock/core/packet"
)

// NotRunError reports that a request or an opening has not run and will not run.
type NotRunError struct {
	Reason packet.Reason
	// RetryAfter is the time to wait before the next try; 0 if none was given.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s; try again after %s", e.Reason, e.RetryAfter)
}

// UnknownError reports that a request may or may not have run.
type UnknownError struct {
	// Attempts is the number of times that the request was sent.
	Attempts uint32
	Cause    error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown after %d attempts: %v; find out from the service before repeating work that is not idempotent", e.Attempts, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// BrokenError reports that an established flow is lost.
type BrokenError struct {
	Reason packet.Reason
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("flow broken: %s; open a new flow", e.Reason)
}
