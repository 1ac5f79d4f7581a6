package fleet

import (
	"errors"
	"fmt"
	"time"

	"limpethub/internal/confsync"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// change is an operator's change and the state of the attempts to apply it.
type change struct {
	id           string
	baseRevision uint64
	document     site.Document
	attempts     int
	// unclear is true while it is unknown whether the change was accepted.
	unclear bool
	running bool
}

// applyTimeout is how long an attempt may take before the instance gives it up.
const applyTimeout = 8 * time.Second

// apply starts a change at an instance, based on the configuration in force there.
func (n *instance) apply() *change {
	n.w.changes++
	c := &change{
		id:           fmt.Sprintf("change-%d", n.w.changes),
		baseRevision: n.held.Accepted.Revision,
		document:     site.Document{Site: fmt.Sprintf("content of change %d", n.w.changes)},
	}
	n.attempt(c)
	return c
}

// attempt runs the change through a confsync.Applier at the instance. It ends with the Applier's
// result, after applyTimeout, or as unclear after twice that if the instance didn't answer.
func (n *instance) attempt(c *change) {
	applier, err := confsync.NewApplier(c.baseRevision, c.id, c.document)
	if err != nil {
		panic(err)
	}
	c.attempts++
	c.running = true
	a := &applyAttempt{n: n, epoch: n.epoch, c: c, applier: applier, deadline: n.w.now.Add(applyTimeout)}
	applier.UseHeld(n.held)
	a.step()
	n.w.schedule(2*applyTimeout, func() { a.abandon() })
}

// applyAttempt is one attempt to apply a change at one process of an instance.
type applyAttempt struct {
	n        *instance
	epoch    int
	c        *change
	applier  *confsync.Applier
	deadline time.Time
	ended    bool
}

// abandon ends an attempt that the instance didn't answer, for example because it stopped. The
// operator then doesn't know whether the change was accepted.
func (a *applyAttempt) abandon() {
	if !a.ended {
		a.ended = true
		a.c.running = false
		a.c.unclear = true
	}
}

// step does the Applier's next step, or ends the attempt if that is done or too late.
func (a *applyAttempt) step() {
	if a.ended {
		return
	}
	if a.applier.Step() != confsync.StepDone && a.n.w.now.After(a.deadline) {
		a.end(confsync.Stored{}, a.applier.GiveUp(errTimeout))
		return
	}
	switch a.applier.Step() {
	case confsync.StepRead:
		a.n.w.store.get(a.n.id.Name, func(entry *storeEntry, err error) { a.finishStoreCall(func() { a.read(entry, err) }) })
	case confsync.StepWrite:
		a.write()
	case confsync.StepDone:
		stored, err := a.applier.Result()
		a.end(stored, err)
	}
}

// finishStoreCall handles the result of a call to the store and schedules the next step.
func (a *applyAttempt) finishStoreCall(handle func()) {
	a.n.runUnlessPaused(a.epoch, func() {
		handle()
		a.n.w.schedule(100*time.Millisecond, func() { a.n.runUnlessPaused(a.epoch, a.step) })
	})
}

func (a *applyAttempt) read(entry *storeEntry, err error) {
	switch {
	case err != nil:
		a.applier.Read(store.Entry{}, err)
	case entry == nil:
		a.applier.Read(store.Entry{}, store.ErrNotFound)
	default:
		a.applier.Read(store.Entry{Value: entry.value, Revision: store.Revision(entry.revision)}, nil)
	}
}

func (a *applyAttempt) write() {
	value, expected := a.applier.Write()
	next, err := confsync.Decode(value)
	if err != nil {
		panic(err)
	}
	a.n.w.store.compareAndSwap(next, value, int(expected), func(err error) {
		a.finishStoreCall(func() {
			if a.n.w.defect == unclearIsRefused && errors.Is(err, errTimeout) {
				a.end(confsync.Stored{}, &confsync.ConflictError{Base: a.c.baseRevision})
				return
			}
			a.applier.Written(err)
		})
	})
}

func (a *applyAttempt) end(stored confsync.Stored, err error) {
	if a.ended {
		return
	}
	a.ended = true
	a.c.running = false
	if err == nil {
		a.n.offer(stored)
	}
	a.n.w.oracle.observeAnswer(a.c, err)
}
