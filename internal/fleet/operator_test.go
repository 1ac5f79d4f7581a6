package fleet

import (
	"errors"
	"fmt"
	"time"

	"limpethub/internal/confsync"
	"limpethub/internal/site"
	"limpethub/internal/store"
)

// change is an operator's change with its attempts.
type change struct {
	id       string
	base     uint64
	document site.Document
	attempts int
	// unclear is true while no attempt gave a sure outcome.
	unclear bool
	running bool
}

const applyTimeout = 8 * time.Second

// apply starts a change at a node, edited from what the node has in force.
func (n *node) apply() *change {
	n.w.changes++
	c := &change{
		id:       fmt.Sprintf("change-%d", n.w.changes),
		base:     n.held.Accepted.Revision,
		document: site.Document{Site: fmt.Sprintf("content of change %d", n.w.changes)},
	}
	n.attempt(c)
	return c
}

// attempt runs the change through a node's Applier until it ends, the operator
// loses patience, or the node dies.
func (n *node) attempt(c *change) {
	applier, err := confsync.NewApplier(c.base, c.id, c.document)
	if err != nil {
		panic(err)
	}
	c.attempts++
	c.running = true
	a := &attempt{n: n, epoch: n.epoch, c: c, applier: applier, deadline: n.w.now.Add(applyTimeout)}
	applier.UseHeld(n.held)
	a.next()
	n.w.after(2*applyTimeout, func() { a.abandon() })
}

type attempt struct {
	n        *node
	epoch    int
	c        *change
	applier  *confsync.Applier
	deadline time.Time
	ended    bool
}

// abandon ends an attempt whose node died: the operator knows nothing.
func (a *attempt) abandon() {
	if !a.ended {
		a.ended = true
		a.c.running = false
		a.c.unclear = true
	}
}

func (a *attempt) next() {
	if a.ended {
		return
	}
	if a.applier.Step() != confsync.StepDone && a.n.w.now.After(a.deadline) {
		a.end(confsync.Stored{}, a.applier.GiveUp(errTimeout))
		return
	}
	switch a.applier.Step() {
	case confsync.StepRead:
		a.n.w.store.get(func(entry *version, err error) { a.resume(func() { a.read(entry, err) }) })
	case confsync.StepWrite:
		a.write()
	case confsync.StepDone:
		stored, err := a.applier.Result()
		a.end(stored, err)
	}
}

func (a *attempt) resume(do func()) {
	a.n.when(a.epoch, func() {
		do()
		a.n.w.after(100*time.Millisecond, func() { a.n.when(a.epoch, a.next) })
	})
}

func (a *attempt) read(entry *version, err error) {
	switch {
	case err != nil:
		a.applier.Read(store.Entry{}, err)
	case entry == nil:
		a.applier.Read(store.Entry{}, store.ErrNotFound)
	default:
		a.applier.Read(store.Entry{Value: entry.value, Revision: store.Revision(entry.revision)}, nil)
	}
}

func (a *attempt) write() {
	value, expected := a.applier.Write()
	next, err := confsync.Decode(value)
	if err != nil {
		panic(err)
	}
	a.n.w.store.swap(next, value, int(expected), func(err error) {
		a.resume(func() {
			if a.n.w.broken == unclearIsRefused && errors.Is(err, errTimeout) {
				a.end(confsync.Stored{}, &confsync.ConflictError{Base: a.c.base})
				return
			}
			a.applier.Written(err)
		})
	})
}

func (a *attempt) end(stored confsync.Stored, err error) {
	if a.ended {
		return
	}
	a.ended = true
	a.c.running = false
	if err == nil {
		a.n.offer(stored)
	}
	a.n.w.oracle.answered(a.c, err)
}
