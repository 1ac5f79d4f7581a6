package engine

import (
	"errors"
	"fmt"
	"time"
)

// RefusalReason is why a server refused a request before running it.
type RefusalReason string

// Reasons of refusals. Servers may send others.
const (
	// RefusalLeaving means that the server takes no new work.
	RefusalLeaving RefusalReason = "leaving"
	// RefusalOverloaded means that the server's queue is full.
	RefusalOverloaded RefusalReason = "overloaded"
	// RefusalNotResident means that the version asked for can't serve there now.
	RefusalNotResident RefusalReason = "not_resident"
)

// RefusalError is a server's own statement that it didn't run a request. The
// adapter wraps it in a *verdict.Error whose verdict is NotRun.
type RefusalError struct {
	Reason RefusalReason
	// RetryAfter is when the server may take the request; zero means unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("engine: refused before running: %s", e.Reason)
}

// IsLeaving reports whether err is a refusal by a server that is leaving.
func IsLeaving(err error) bool {
	var refusal *RefusalError
	return errors.As(err, &refusal) && refusal.Reason == RefusalLeaving
}

// UnsentError marks a failure of which not one byte reached the server.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "engine: nothing was sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// IsUnsent reports whether err proves that nothing reached the server.
func IsUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}
