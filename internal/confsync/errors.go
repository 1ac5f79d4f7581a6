package confsync

import (
	"errors"
	"fmt"
)

// ErrNotAccepted means that a change wasn't accepted: no write of it took effect or still
// can. The change may be applied again.
var ErrNotAccepted = errors.New("confsync: change not accepted, nothing was written")

// ConflictError means that another change was accepted after the revision that this
// change is based on.
type ConflictError struct {
	// Base is the revision that the change is based on.
	Base uint64
	// Current is the latest accepted revision.
	Current uint64
	// ChangeID is the id of the change that produced Current, if known.
	ChangeID string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("confsync: conflict: based on revision %d, but revision %d (change %q) is accepted",
		e.Base, e.Current, e.ChangeID)
}

// UnclearError means that a write may or may not have taken effect. Applying the change
// again with the same change id determines the outcome.
type UnclearError struct {
	// ChangeID is the id of the change whose outcome is unclear.
	ChangeID string
	Err      error
}

func (e *UnclearError) Error() string {
	return fmt.Sprintf("confsync: change %q may have been accepted; apply it again with this change id: %v",
		e.ChangeID, e.Err)
}

func (e *UnclearError) Unwrap() error { return e.Err }

// TooLargeError means that a configuration exceeds a size limit.
type TooLargeError struct {
	// Bytes is the size of the value, or a lower bound if reading stopped at the limit. Limit
	// is the largest allowed size.
	Bytes, Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("confsync: configuration of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}
