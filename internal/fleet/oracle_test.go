package fleet

import (
	"errors"
	"fmt"

	"limpethub/internal/confsync"
	"limpethub/internal/membership"
)

// oracle tracks the true state of the fleet and records what contradicts it.
type oracle struct {
	w *world
	// acceptedChanges holds the id of the accepted change of each revision, from revision 1.
	acceptedChanges []string
	accepted        map[string]bool
	refusedChanges  map[string]bool
	// highestHeld is the highest revision that the current process of each instance held.
	highestHeld map[string]uint64
	// seenLeaving holds, for each observing process, the members that it saw leaving and the
	// epochs that these had then.
	seenLeaving map[string]map[string]int
	// membersVersions is the version of each instance's member list at its last check.
	membersVersions map[string]uint64
	faults          []string
	// skipLeavingCheck omits checkLeaving, which takes long in a large fleet.
	skipLeavingCheck bool
}

func newOracle(w *world) *oracle {
	return &oracle{
		w:               w,
		accepted:        map[string]bool{},
		refusedChanges:  map[string]bool{},
		highestHeld:     map[string]uint64{},
		seenLeaving:     map[string]map[string]int{},
		membersVersions: map[string]uint64{},
	}
}

func (o *oracle) addFault(format string, args ...any) {
	if len(o.faults) < 5 {
		o.faults = append(o.faults, fmt.Sprintf(format, args...))
	}
}

func (o *oracle) processStarted(n *instance) {
	o.highestHeld[n.id.Name] = 0
	o.seenLeaving[n.id.Name] = map[string]int{}
}

// observeWrite checks and records a write that took effect in the store.
func (o *oracle) observeWrite(s confsync.Stored) {
	if want := uint64(len(o.acceptedChanges)) + 1; s.Accepted.Revision != want {
		o.addFault("a write made revision %d after %d: a change was lost", s.Accepted.Revision, want-1)
	}
	for _, id := range o.acceptedChanges {
		if id == s.Accepted.ChangeID {
			o.addFault("%s was accepted twice", id)
		}
	}
	if o.refusedChanges[s.Accepted.ChangeID] {
		o.addFault("%s took effect after it was answered as refused", s.Accepted.ChangeID)
	}
	o.acceptedChanges = append(o.acceptedChanges, s.Accepted.ChangeID)
}

func (o *oracle) inHistory(id string) bool {
	for _, other := range o.acceptedChanges {
		if other == id {
			return true
		}
	}
	return false
}

// observeAnswer checks and records the answer that an operator got to an attempt.
func (o *oracle) observeAnswer(c *change, err error) {
	var conflict *confsync.ConflictError
	var unclear *confsync.UnclearError
	switch {
	case err == nil:
		c.unclear = false
		if !o.inHistory(c.id) {
			o.addFault("%s was answered as accepted, but isn't in the store", c.id)
		}
	case errors.As(err, &unclear):
		c.unclear = true
	case errors.As(err, &conflict), errors.Is(err, confsync.ErrNotAccepted) && c.attempts == 1:
		c.unclear = false
		o.refusedChanges[c.id] = true
		if o.inHistory(c.id) {
			o.addFault("%s was answered as refused, but is in the store: %v", c.id, err)
		}
	}
}

// check checks one instance. It is called after each event of the instance.
func (o *oracle) check(n *instance) {
	held := n.held.Accepted
	name := n.id.Name
	if held.Revision < o.highestHeld[name] {
		o.addFault("%s went back from revision %d to %d", name, o.highestHeld[name], held.Revision)
	}
	o.highestHeld[name] = held.Revision
	if held.Revision > 0 && (held.Revision > uint64(len(o.acceptedChanges)) || o.acceptedChanges[held.Revision-1] != held.ChangeID) {
		o.addFault("%s holds revision %d of %s, which the store never had", name, held.Revision, held.ChangeID)
	}
	if version := n.machine.Version(); !o.skipLeavingCheck && version != o.membersVersions[name] {
		o.membersVersions[name] = version
		o.checkLeaving(n)
	}
}

// checkLeaving checks that an instance that was seen leaving isn't seen as alive or suspect later,
// unless it has a new process.
func (o *oracle) checkLeaving(n *instance) {
	leavingEpochs := o.seenLeaving[n.id.Name]
	for _, m := range n.machine.Members() {
		other := o.w.byName[m.Name]
		if other == nil || other == n {
			continue
		}
		if m.Incarnation < other.firstIncarnation {
			continue // This record is about an earlier process.
		}
		switch m.State {
		case membership.Leaving:
			leavingEpochs[m.Name] = other.epoch
		case membership.Alive, membership.Suspect:
			if epoch, ok := leavingEpochs[m.Name]; ok && epoch == other.epoch {
				o.addFault("%s sees %s as running again, although it is leaving", n.id.Name, m.Name)
			}
		}
	}
}

// checkSettled checks the whole fleet. It is called some time after the faults were removed.
func (o *oracle) checkSettled() {
	latest := o.latestAvailable()
	for _, n := range o.w.instances {
		if !n.up {
			continue
		}
		if n.held.Accepted.Revision != latest {
			o.addFault("%s has revision %d in force, want %d", n.id.Name, n.held.Accepted.Revision, latest)
		}
		if latest > 0 && !n.fetchPlanner.Ready() {
			o.addFault("%s isn't ready to serve with its configuration", n.id.Name)
		}
		for _, m := range n.machine.Members() {
			if other := o.w.byName[m.Name]; other != nil && m.State != trueState(other) {
				o.addFault("%s sees %s as %v, want %v", n.id.Name, m.Name, m.State, trueState(other))
			}
		}
	}
}

// latestAvailable returns the latest revision that instances can obtain: the latest accepted one,
// or, while the store is unreachable, the highest one that a running instance holds.
func (o *oracle) latestAvailable() uint64 {
	if !o.w.store.unreachable {
		return uint64(len(o.acceptedChanges))
	}
	highest := uint64(0)
	for _, n := range o.w.instances {
		if n.up {
			highest = max(highest, n.held.Accepted.Revision)
		}
	}
	return highest
}

func trueState(n *instance) membership.State {
	switch {
	case !n.up:
		return membership.Dead
	case n.leaving:
		return membership.Leaving
	}
	return membership.Alive
}
