package fleet

import (
	"errors"
	"fmt"

	"limpethub/internal/confsync"
	"limpethub/internal/membership"
)

// oracle knows what is true and notes what contradicts it.
type oracle struct {
	w *world
	// history is the accepted change of each revision, from 1.
	history  []string
	accepted map[string]bool
	refused  map[string]bool
	// highest is the highest revision that a process held.
	highest map[string]uint64
	// leavers are the processes that an observer process saw leaving.
	leavers  map[string]map[string]int
	versions map[string]uint64
	faults   []string
	// quiet leaves out the check of leavers, which costs time in a large fleet.
	quiet bool
}

func newOracle(w *world) *oracle {
	return &oracle{
		w:        w,
		accepted: map[string]bool{},
		refused:  map[string]bool{},
		highest:  map[string]uint64{},
		leavers:  map[string]map[string]int{},
		versions: map[string]uint64{},
	}
}

func (o *oracle) fault(format string, args ...any) {
	if len(o.faults) < 5 {
		o.faults = append(o.faults, fmt.Sprintf(format, args...))
	}
}

func (o *oracle) started(n *node) {
	o.highest[n.id.Name] = 0
	o.leavers[n.id.Name] = map[string]int{}
}

// written takes each write that took effect.
func (o *oracle) written(s confsync.Stored) {
	if want := uint64(len(o.history)) + 1; s.Accepted.Revision != want {
		o.fault("a write made revision %d after %d: a change was lost", s.Accepted.Revision, want-1)
	}
	for _, id := range o.history {
		if id == s.Accepted.ChangeID {
			o.fault("%s was accepted twice", id)
		}
	}
	if o.refused[s.Accepted.ChangeID] {
		o.fault("%s took effect after it was refused", s.Accepted.ChangeID)
	}
	o.history = append(o.history, s.Accepted.ChangeID)
}

func (o *oracle) inHistory(id string) bool {
	for _, other := range o.history {
		if other == id {
			return true
		}
	}
	return false
}

// answered takes what an operator was told.
func (o *oracle) answered(c *change, err error) {
	var conflict *confsync.ConflictError
	var unclear *confsync.UnclearError
	switch {
	case err == nil:
		c.unclear = false
		if !o.inHistory(c.id) {
			o.fault("%s was called accepted, but isn't in the store", c.id)
		}
	case errors.As(err, &unclear):
		c.unclear = true
	case errors.As(err, &conflict), errors.Is(err, confsync.ErrNotAccepted) && c.attempts == 1:
		c.unclear = false
		o.refused[c.id] = true
		if o.inHistory(c.id) {
			o.fault("%s was called refused, but is in the store: %v", c.id, err)
		}
	}
}

// check looks at one instance after each of its events.
func (o *oracle) check(n *node) {
	held := n.held.Accepted
	name := n.id.Name
	if held.Revision < o.highest[name] {
		o.fault("%s went back from revision %d to %d", name, o.highest[name], held.Revision)
	}
	o.highest[name] = held.Revision
	if held.Revision > 0 && (held.Revision > uint64(len(o.history)) || o.history[held.Revision-1] != held.ChangeID) {
		o.fault("%s holds revision %d of %s, which the store never had", name, held.Revision, held.ChangeID)
	}
	if version := n.machine.Version(); !o.quiet && version != o.versions[name] {
		o.versions[name] = version
		o.checkLeavers(n)
	}
}

// checkLeavers makes sure that an instance once seen leaving isn't seen alive again
// unless its process was replaced.
func (o *oracle) checkLeavers(n *node) {
	seen := o.leavers[n.id.Name]
	for _, m := range n.machine.Members() {
		other := o.w.byName[m.Name]
		if other == nil || other == n {
			continue
		}
		if m.Incarnation < other.firstIncarnation {
			continue // This is about an earlier process.
		}
		switch m.State {
		case membership.Leaving:
			seen[m.Name] = other.epoch
		case membership.Alive, membership.Suspect:
			if epoch, ok := seen[m.Name]; ok && epoch == other.epoch {
				o.fault("%s revived %s, which is leaving", n.id.Name, m.Name)
			}
		}
	}
}

// checkSettled looks at the whole fleet once all faults are gone for a while.
func (o *oracle) checkSettled() {
	latest := o.reachable()
	for _, n := range o.w.nodes {
		if !n.up {
			continue
		}
		if n.held.Accepted.Revision != latest {
			o.fault("%s has revision %d in force, want %d", n.id.Name, n.held.Accepted.Revision, latest)
		}
		if latest > 0 && !n.spread.Ready() {
			o.fault("%s doesn't serve its configuration", n.id.Name)
		}
		for _, m := range n.machine.Members() {
			if other := o.w.byName[m.Name]; other != nil && m.State != trueState(other) {
				o.fault("%s sees %s %v, it is %v", n.id.Name, m.Name, m.State, trueState(other))
			}
		}
	}
}

// reachable is the latest revision that instances can know: the accepted one, or
// while the store is away the highest that any of them holds.
func (o *oracle) reachable() uint64 {
	if !o.w.store.away {
		return uint64(len(o.history))
	}
	highest := uint64(0)
	for _, n := range o.w.nodes {
		if n.up {
			highest = max(highest, n.held.Accepted.Revision)
		}
	}
	return highest
}

func trueState(n *node) membership.State {
	switch {
	case !n.up:
		return membership.Dead
	case n.leaving:
		return membership.Leaving
	}
	return membership.Alive
}
