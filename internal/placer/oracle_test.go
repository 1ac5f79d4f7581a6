package placer

import (
	"fmt"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// eventCounts counts events of the runs, to show which situations they covered.
//   - moves: orders entered in the ledger; unrecorded: those of them without a ledger write
//   - takeovers: events of kind lease
//   - resends, restarts: events of these kinds; surprises: unexpected changes
//   - arrivals: orders that reached an engine
//   - late: arrivals of an order whose term is lower than that of an active holder
type eventCounts struct {
	moves, unrecorded, takeovers, resends, surprises, restarts, arrivals, late int
}

func (t *eventCounts) add(o eventCounts) {
	t.moves += o.moves
	t.unrecorded += o.unrecorded
	t.takeovers += o.takeovers
	t.resends += o.resends
	t.surprises += o.surprises
	t.restarts += o.restarts
	t.arrivals += o.arrivals
	t.late += o.late
}

// invariant names an invariant that the oracle checks.
type invariant string

// Invariants that are checked after each step.
const (
	// No engine holds more than its memory.
	memoryInvariant invariant = "memory"
	// No engine executes an order of an earlier term after a fence order.
	fencingInvariant invariant = "fencing"
	// The number of concurrent loads stays within its limit.
	loadsInvariant invariant = "weight store loads"
	// The rate of load starts stays within its limit.
	rateInvariant invariant = "weight store rate"
	// No order unloads the last copy of a version.
	lastCopyInvariant invariant = "last copy"
)

// oracle knows the actual memory of the engines and checks the invariants after each step.
type oracle struct {
	world *world
	// exempt holds versions that lost a copy to a fault instead of an order, until they
	// have two copies again.
	exempt map[modelref.Ref]bool
	// unloadedLastCopies lists versions whose last copy was unloaded by an order.
	unloadedLastCopies []modelref.Ref
	// disturbances counts restarts of engines and foreign unloads.
	disturbances int
	lastMove     time.Time
	counts       eventCounts
}

func newOracle(w *world) *oracle {
	o := &oracle{world: w, exempt: map[modelref.Ref]bool{}}
	for _, e := range w.engines {
		e.onUnload = o.recordUnload
	}
	return o
}

// exemptVersionsOn exempts the versions on an engine that is about to lose copies to a
// fault, and counts the fault.
func (o *oracle) exemptVersionsOn(server int) {
	o.disturbances++
	for _, h := range o.world.engines[server].holdings {
		o.exempt[h.Ref] = true
	}
}

// servingEngines counts the engines where a version can serve: an adapter needs its base.
func (o *oracle) servingEngines(u site.Unit) int {
	n := 0
	for _, e := range o.world.engines {
		if e.resident(u.Ref) && (u.Base == "" || e.resident(u.Base)) {
			n++
		}
	}
	return n
}

// servingEnginesWithoutUnload counts the engines where a version can serve and for which no
// unload of it or its base is pending.
func (o *oracle) servingEnginesWithoutUnload(u site.Unit) int {
	n := 0
	for i, e := range o.world.engines {
		if !e.resident(u.Ref) || (u.Base != "" && !e.resident(u.Base)) {
			continue
		}
		if !o.world.unloadPending(i, u.Ref) && (u.Base == "" || !o.world.unloadPending(i, u.Base)) {
			n++
		}
	}
	return n
}

// recordUnload records whether an unload that an engine just executed removed the last
// serving copy of the version, or of an adapter on the engine that extends it.
func (o *oracle) recordUnload(e *fakeEngine, ref modelref.Ref) {
	for _, u := range o.world.document.Units() {
		orphan := u.Ref == ref && u.Base != "" && !e.resident(u.Base)
		affected := (u.Ref == ref && !orphan) || (u.Base == ref && e.resident(u.Ref))
		if affected && o.servingEngines(u) == 0 && !o.exempt[u.Ref] && !o.exempt[u.Base] {
			o.unloadedLastCopies = append(o.unloadedLastCopies, u.Ref)
		}
	}
}

// observeArrival counts an arriving order, and ends the exemption of versions that have
// two copies without a pending unload.
func (o *oracle) observeArrival(q queuedOrder) {
	o.counts.arrivals++
	for _, h := range o.world.instances {
		if h.core.ledger != nil && h.core.phase == phaseActive && h.core.ledger.Term() > termOfID(q.order.ID) {
			o.counts.late++
			break
		}
	}
	for _, u := range o.world.document.Units() {
		if o.servingEnginesWithoutUnload(u) >= 2 {
			delete(o.exempt, u.Ref)
		}
	}
}

// observeEvents counts the new events of an instance.
func (o *oracle) observeEvents(h *instance) {
	for _, e := range h.core.takeEvents() {
		switch e.kind {
		case eventMove:
			o.counts.moves++
			o.lastMove = o.world.now
			if !h.core.recording(o.world.clock(h)) {
				o.counts.unrecorded++
			}
		case eventUnexpectedChange:
			o.counts.surprises++
		case eventLease:
			o.counts.takeovers++
		case eventResend:
			o.counts.resends++
		case eventRestart:
			o.counts.restarts++
		}
	}
}

// rateWindow is the window in which load starts are counted.
const rateWindow = 10 * time.Second

// check returns an error for the first invariant that is violated.
func (o *oracle) check() error {
	checks := []struct {
		invariant invariant
		check     func() error
	}{
		{memoryInvariant, o.checkMemory},
		{fencingInvariant, o.checkFencing},
		{loadsInvariant, o.checkLoads},
		{rateInvariant, o.checkRate},
		{lastCopyInvariant, o.checkLastCopy},
	}
	for _, c := range checks {
		if only := o.world.mutation.onlyInvariant; only != "" && only != c.invariant {
			continue
		}
		if err := c.check(); err != nil {
			return fmt.Errorf("%s: %w", c.invariant, err)
		}
	}
	return nil
}

func (o *oracle) checkMemory() error {
	for _, e := range o.world.engines {
		if used := e.usedMB(); used > e.spec.MemoryMB {
			return fmt.Errorf("%s holds %d MiB, capacity %d MiB", e.spec.Name, used, e.spec.MemoryMB)
		}
	}
	return nil
}

func (o *oracle) checkFencing() error {
	for _, e := range o.world.engines {
		if len(e.staleExecuted) > 0 {
			return fmt.Errorf("%s executed order %s of an earlier term after a fence order", e.spec.Name, e.staleExecuted[0])
		}
	}
	return nil
}

func (o *oracle) checkLoads() error {
	loading := 0
	for _, e := range o.world.engines {
		loading += e.loading()
	}
	if limit := o.world.document.Budgets.ConcurrentLoads; loading > limit {
		return fmt.Errorf("%d loads at once, limit %d", loading, limit)
	}
	return nil
}

func (o *oracle) checkLastCopy() error {
	if len(o.unloadedLastCopies) > 0 {
		return fmt.Errorf("an order unloaded the last copy of %s", o.unloadedLastCopies[0])
	}
	return nil
}

// checkRate bounds the loads that started within rateWindow. Delayed orders may arrive
// together: at most as many as may be in progress at once, and as many again for each
// restart of an engine and each foreign unload.
func (o *oracle) checkRate() error {
	recent := 0
	for _, e := range o.world.engines {
		for i := len(e.loadStarts) - 1; i >= 0 && o.world.now.Sub(e.loadStarts[i]) < rateWindow; i-- {
			recent++
		}
	}
	budgets := o.world.document.Budgets
	limit := budgets.LoadsPerSecond*rateWindow.Seconds() + 1 + float64(budgets.ConcurrentLoads*(1+o.disturbances))
	if float64(recent) > limit {
		return fmt.Errorf("%d loads started within %v, limit %.0f", recent, rateWindow, limit)
	}
	return nil
}

// checkConverged returns an error if the simulation hasn't converged.
func (o *oracle) checkConverged() error {
	for _, u := range o.world.document.Units() {
		if o.servingEngines(u) == 0 {
			return fmt.Errorf("reachability: %s has no resident copy", u.Ref)
		}
	}
	active := 0
	for _, h := range o.world.instances {
		if h.core.phase != phaseActive || !h.core.lease.Holds(o.world.clock(h)) {
			continue
		}
		active++
		for _, a := range h.core.ledger.Accounts() {
			if len(a.Pending) > 0 {
				return fmt.Errorf("ledger: %s has %d pending orders, want 0", a.Spec.Name, len(a.Pending))
			}
		}
	}
	if active != 1 {
		return fmt.Errorf("lease: %d active holders, want 1", active)
	}
	return nil
}
