package confsync

import (
	"errors"
	"fmt"
)

// ErrNotAccepted means that a change wasn't accepted and never will be: nothing
// was written.
var ErrNotAccepted = errors.New("confsync: change not accepted, nothing was written")

// ConflictError means that another change was accepted since the revision that
// this one was edited from.
type ConflictError struct {
	// Base is the revision that the change was edited from.
	Base uint64
	// Current is the revision that stands.
	Current uint64
	// ChangeID is the change that made Current, if known.
	ChangeID string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("confsync: conflict: edited from revision %d, but revision %d (change %q) is accepted",
		e.Base, e.Current, e.ChangeID)
}

// UnclearError means that a write may or may not have taken effect. Applying again
// with the same change id gives the outcome.
type UnclearError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *UnclearError) Error() string {
	return fmt.Sprintf("confsync: change %q may have been accepted; apply it again with this change id: %v",
		e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *UnclearError) Unwrap() error { return e.Err }

// TooLargeError means that a configuration doesn't fit into the store.
type TooLargeError struct {
	// Bytes is the size of the value, Limit the most that is allowed.
	Bytes, Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("confsync: configuration takes %d bytes, above the limit of %d", e.Bytes, e.Limit)
}
