package confsync

import (
	"errors"
	"fmt"

	"limpethub/internal/site"
	"limpethub/internal/store"
)

// ApplyStep is what an Applier wants done next.
type ApplyStep uint8

// Steps of an Applier.
const (
	// StepRead reads the configuration's key; the result goes to Read.
	StepRead ApplyStep = iota + 1
	// StepWrite compares and swaps; the result goes to Written.
	StepWrite
	// StepDone means that Result holds the outcome.
	StepDone
)

// Applier carries one change through the store. It has no clock and does no I/O:
// its caller carries out each step, waits between failed ones, and may give up at
// any time.
//
// A write whose answer was lost is written again with the same expected revision:
// the store takes at most one of them, and the change id read back tells whether
// it was this change.
type Applier struct {
	base     uint64
	changeID string
	document site.Document

	step     ApplyStep
	expected store.Revision
	value    []byte
	next     Stored
	unclear  bool
	lastErr  error
	accepted Stored
	err      error
}

// NewApplier prepares a change edited from revision base. It fails at once when
// the document is too large.
func NewApplier(base uint64, changeID string, document site.Document) (*Applier, error) {
	if changeID == "" {
		return nil, fmt.Errorf("%w: no change id", ErrNotAccepted)
	}
	a := &Applier{base: base, changeID: changeID, document: document, step: StepRead}
	previous := Stored{Accepted: site.Accepted{Revision: base}}
	if _, err := previous.next(changeID, document).Encode(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	return a, nil
}

// Step returns what to do next.
func (a *Applier) Step() ApplyStep { return a.step }

// Write returns the value to write and the revision to expect, for StepWrite.
func (a *Applier) Write() (value []byte, expected store.Revision) { return a.value, a.expected }

// Result returns the outcome, for StepDone: the stored value that holds the change.
func (a *Applier) Result() (Stored, error) { return a.accepted, a.err }

// Read takes the result of StepRead. It may be stale.
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
	a.judge(current, entry.Revision)
}

// Known takes a configuration that this instance holds already.
func (a *Applier) Known(held Stored) {
	if _, ours := held.find(a.changeID); ours || held.Accepted.Revision > a.base {
		a.judge(held, 0)
	}
}

func (a *Applier) judge(current Stored, revision store.Revision) {
	if _, ours := current.find(a.changeID); ours {
		a.succeed(current)
		return
	}
	switch {
	case current.Accepted.Revision < a.base:
		a.lastErr = fmt.Errorf("confsync: the store shows revision %d, older than %d", current.Accepted.Revision, a.base)
	case current.Accepted.Revision > a.base:
		a.conflict(current)
	default:
		a.prepareWrite(current, revision)
	}
}

// conflict judges a newer revision than the base. The change is lost for sure when
// the change that followed the base is remembered and isn't this one.
func (a *Applier) conflict(current Stored) {
	if a.unclear && !current.remembers(a.base+1) {
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
	a.next = current.next(a.changeID, a.document)
	value, err := a.next.Encode()
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
		a.succeed(a.next)
	case errors.Is(err, store.ErrThrottled):
		a.lastErr = err
	case errors.Is(err, store.ErrConflict):
		a.lastErr = err
		a.step = StepRead
	default:
		a.unclear = true
		a.lastErr = err
		a.step = StepRead
	}
}

// GiveUp returns the error of a change whose caller stops waiting.
func (a *Applier) GiveUp(cause error) error {
	if a.lastErr != nil {
		cause = fmt.Errorf("%w (last: %w)", cause, a.lastErr)
	}
	if a.unclear {
		return &UnclearError{ChangeID: a.changeID, Err: cause}
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
}

func (a *Applier) succeed(current Stored) {
	a.accepted = current
	a.step = StepDone
}

func (a *Applier) fail(err error) {
	a.err = err
	a.step = StepDone
}

// own is the change as the store accepted it, whatever came later.
func (a *Applier) own() site.Accepted {
	made, _ := a.accepted.find(a.changeID)
	return site.Accepted{Revision: made, ChangeID: a.changeID, Document: a.document}
}
