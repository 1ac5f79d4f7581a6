package confsync

import (
	"errors"
	"fmt"

	"limpethub/internal/site"
	"limpethub/internal/store"
)

// ApplyStep is the next operation that an Applier needs.
type ApplyStep uint8

const (
	// StepRead reads the configuration key; its result is passed to Read.
	StepRead ApplyStep = iota + 1
	// StepWrite is a compare-and-swap; its result is passed to Written.
	StepWrite
	// StepDone means that Result returns the outcome.
	StepDone
)

// Applier applies one change to the store. It has no clock and does no I/O: the caller
// performs each step, waits between failed steps, and may give up at any time.
//
// A write whose answer was lost is retried with the same expected revision. The store
// accepts at most one of the writes, and the change id read back shows whether it was this
// change.
type Applier struct {
	base     uint64
	changeID string
	document site.Document

	step         ApplyStep
	expected     store.Revision
	value        []byte
	nextStored   Stored
	writeUnclear bool
	lastErr      error
	// outcome is the stored value that contains the change, once it was accepted.
	outcome Stored
	err     error
}

// NewApplier prepares a change that is based on revision base. It fails if there is no
// change id or the document is too large.
func NewApplier(base uint64, changeID string, document site.Document) (*Applier, error) {
	if changeID == "" {
		return nil, fmt.Errorf("%w: no change id", ErrNotAccepted)
	}
	a := &Applier{base: base, changeID: changeID, document: document, step: StepRead}
	// The stored value isn't known yet. One without recent changes is enough to refuse a
	// document that is too large by itself; prepareWrite checks the size of the real value.
	previous := Stored{Accepted: site.Accepted{Revision: base}}
	if _, err := previous.next(changeID, document).Encode(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	return a, nil
}

// Step returns the next operation.
func (a *Applier) Step() ApplyStep { return a.step }

// Write returns the value to write and the expected revision, for StepWrite.
func (a *Applier) Write() (value []byte, expected store.Revision) { return a.value, a.expected }

// Result returns the outcome, for StepDone: the stored value that contains the change, or
// the error.
func (a *Applier) Result() (Stored, error) { return a.outcome, a.err }

// Read takes the result of StepRead, as Written takes that of StepWrite. The entry may be stale.
func (a *Applier) Read(entry store.Entry, err error) {
	var current Stored
	switch {
	case errors.Is(err, store.ErrNotFound):
		entry = store.Entry{}
	case err != nil:
		a.lastErr = err
		return
	default:
		if current, err = Decode(entry.Value); err != nil {
			a.fail(fmt.Errorf("%w: %w", ErrNotAccepted, err))
			return
		}
	}
	a.evaluate(current, entry.Revision)
}

// UseHeld takes the configuration that this instance already holds. If it contains the change
// or is newer than the base, the change ends without a read or write of the store, so that
// evaluate needs no store revision. Otherwise UseHeld has no effect.
func (a *Applier) UseHeld(held Stored) {
	if _, ours := held.findChange(a.changeID); ours || held.Accepted.Revision > a.base {
		a.evaluate(held, 0)
	}
}

// evaluate compares the change with the current configuration and chooses the next step.
func (a *Applier) evaluate(current Stored, revision store.Revision) {
	if _, ours := current.findChange(a.changeID); ours {
		a.succeed(current)
		return
	}
	switch {
	case current.Accepted.Revision < a.base:
		a.lastErr = fmt.Errorf("confsync: the store returned revision %d, older than %d", current.Accepted.Revision, a.base)
	case current.Accepted.Revision > a.base:
		a.failNewerRevision(current)
	default:
		a.prepareWrite(current, revision)
	}
}

// failNewerRevision ends a change whose base is older than the current revision. After an
// unclear write, Recent must reach back to revision base+1 to show that another change took
// that revision. Otherwise the outcome stays unclear.
func (a *Applier) failNewerRevision(current Stored) {
	if a.writeUnclear && !current.reachesBackTo(a.base+1) {
		a.fail(&UnclearError{ChangeID: a.changeID, Err: a.lastErr})
		return
	}
	a.fail(&ConflictError{
		Base:     a.base,
		Current:  current.Accepted.Revision,
		ChangeID: current.Accepted.ChangeID,
	})
}

func (a *Applier) prepareWrite(current Stored, revision store.Revision) {
	a.nextStored = current.next(a.changeID, a.document)
	value, err := a.nextStored.Encode()
	if err != nil {
		a.fail(fmt.Errorf("%w: %w", ErrNotAccepted, err))
		return
	}
	a.value = value
	a.expected = revision
	a.step = StepWrite
}

// Written takes the result of StepWrite.
func (a *Applier) Written(err error) {
	switch {
	case err == nil:
		a.succeed(a.nextStored)
	case errors.Is(err, store.ErrThrottled):
		a.lastErr = err
	case errors.Is(err, store.ErrConflict):
		a.lastErr = err
		a.step = StepRead
	default:
		a.writeUnclear = true
		a.lastErr = err
		a.step = StepRead
	}
}

// GiveUp returns the error for a change that the caller stops applying.
func (a *Applier) GiveUp(cause error) error {
	if a.lastErr != nil {
		cause = fmt.Errorf("%w (last: %w)", cause, a.lastErr)
	}
	if a.writeUnclear {
		return &UnclearError{ChangeID: a.changeID, Err: cause}
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
}

func (a *Applier) succeed(current Stored) {
	a.outcome = current
	a.step = StepDone
}

func (a *Applier) fail(err error) {
	a.err = err
	a.step = StepDone
}

// ownChange returns the change as the store accepted it, without any later changes.
func (a *Applier) ownChange() site.Accepted {
	revision, _ := a.outcome.findChange(a.changeID)
	return site.Accepted{Revision: revision, ChangeID: a.changeID, Document: a.document}
}
