package engine

import (
	"errors"
	"fmt"
	"time"
)

// RefusalReason is why a server refused a request before running it.
type RefusalReason string

// Reasons of refusals. Servers may send other reasons.
const (
	// RefusalLeaving means that the server is about to stop and accepts no new work.
	RefusalLeaving RefusalReason = "leaving"
	// RefusalOverloaded means that the server's queue is full.
	RefusalOverloaded RefusalReason = "overloaded"
	// RefusalNotResident means that the server can't serve the requested version now.
	RefusalNotResident RefusalReason = "not_resident"
)

// RefusalError is a server's statement that it didn't run a request. The engine adapter wraps it
// in a *verdict.Error with the verdict NotRun.
type RefusalError struct {
	Reason RefusalReason
	// RetryAfter is how long to wait before the server may accept the request; 0 means
	// unknown.
	RetryAfter time.Duration
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("engine: refused before running: %s", e.Reason)
}

// IsLeaving reports whether err is a refusal by a server that is about to stop.
func IsLeaving(err error) bool {
	var refusal *RefusalError
	return errors.As(err, &refusal) && refusal.Reason == RefusalLeaving
}

// UnsentError marks a failure before any byte of the request reached the server. It says more
// than the verdict NotRun, which a server that received the request may also state. Retries
// after an UnsentError don't use up the retry budget. Passthrough.Open returns it.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string { return "engine: nothing was sent: " + e.Err.Error() }

func (e *UnsentError) Unwrap() error { return e.Err }

// IsUnsent reports whether err proves that no byte of the request reached the server.
func IsUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}
