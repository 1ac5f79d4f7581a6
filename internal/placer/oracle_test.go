package placer

import (
	"fmt"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// tally counts what runs brought about, to show that they reach what they are for.
type tally struct {
	moves, unrecorded, takeovers, resends, surprises, restarts, arrivals, late int
}

func (t *tally) add(o tally) {
	t.moves += o.moves
	t.unrecorded += o.unrecorded
	t.takeovers += o.takeovers
	t.resends += o.resends
	t.surprises += o.surprises
	t.restarts += o.restarts
	t.arrivals += o.arrivals
	t.late += o.late
}

// invariant names a promise that the oracle checks.
type invariant string

// Invariants of each step.
const (
	memoryInvariant   invariant = "memory"
	fencingInvariant  invariant = "fencing"
	loadsInvariant    invariant = "weight store loads"
	rateInvariant     invariant = "weight store rate"
	lastCopyInvariant invariant = "last copy"
)

// oracle knows the engines' true memory and judges each step.
type oracle struct {
	world *world
	// exempt holds versions that lost a copy otherwise than by an order, until they
	// have two copies again.
	exempt map[modelref.Ref]bool
	// lastCopies lists versions whose last copy went by an order.
	lastCopies []modelref.Ref
	restarts   int
	lastMove   time.Time
	seen       tally
}

func newOracle(w *world) *oracle {
	o := &oracle{world: w, exempt: map[modelref.Ref]bool{}}
	for _, e := range w.engines {
		e.unloaded = o.unloaded
	}
	return o
}

// disturbed notes that an engine is about to lose copies by no order of ours.
func (o *oracle) disturbed(server int) {
	o.restarts++
	for _, h := range o.world.engines[server].holdings {
		o.exempt[h.Ref] = true
	}
}

// served counts the engines where a version can serve: an adapter needs its base.
func (o *oracle) served(u site.Unit) int {
	n := 0
	for _, e := range o.world.engines {
		if e.resident(u.Ref) && (u.Base == "" || e.resident(u.Base)) {
			n++
		}
	}
	return n
}

// safelyServed counts the engines where a version serves and that no unload of it
// is on its way to.
func (o *oracle) safelyServed(u site.Unit) int {
	n := 0
	for i, e := range o.world.engines {
		if !e.resident(u.Ref) || (u.Base != "" && !e.resident(u.Base)) {
			continue
		}
		if !o.world.unloadOpen(i, u.Ref) && (u.Base == "" || !o.world.unloadOpen(i, u.Base)) {
			n++
		}
	}
	return n
}

// unloaded judges an unload that an engine just carried out: it may have ended the
// last serving copy of the version, or of an adapter on the engine that extends it.
func (o *oracle) unloaded(e *fakeEngine, ref modelref.Ref) {
	for _, u := range o.world.document.Units() {
		orphan := u.Ref == ref && u.Base != "" && !e.resident(u.Base)
		touched := (u.Ref == ref && !orphan) || (u.Base == ref && e.resident(u.Ref))
		if touched && o.served(u) == 0 && !o.exempt[u.Ref] && !o.exempt[u.Base] {
			o.lastCopies = append(o.lastCopies, u.Ref)
		}
	}
}

func (o *oracle) arriving(q queued) {
	o.seen.arrivals++
	for _, h := range o.world.holders {
		if h.core.ledger != nil && h.core.phase == phaseActive && h.core.ledger.Term() > termOfID(q.order.ID) {
			o.seen.late++
			break
		}
	}
	for _, u := range o.world.document.Units() {
		if o.safelyServed(u) >= 2 {
			delete(o.exempt, u.Ref)
		}
	}
}

// watch takes the events of a holder.
func (o *oracle) watch(h *holder) {
	for _, e := range h.core.drainEvents() {
		switch e.kind {
		case eventMove:
			o.seen.moves++
			o.lastMove = o.world.now
			if !h.core.recording(o.world.clock(h)) {
				o.seen.unrecorded++
			}
		case eventSurprise:
			o.seen.surprises++
		case eventLease:
			o.seen.takeovers++
		case eventResend:
			o.seen.resends++
		case eventRestart:
			o.seen.restarts++
		}
	}
}

// rateWindow is the time over which starts of loads are counted.
const rateWindow = 10 * time.Second

// check returns the first promise that the present state breaks.
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
		if only := o.world.broken.only; only != "" && only != c.invariant {
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
		if used := e.used(); used > e.spec.MemoryMB {
			return fmt.Errorf("%s holds %d of %d MiB", e.spec.Name, used, e.spec.MemoryMB)
		}
	}
	return nil
}

func (o *oracle) checkFencing() error {
	for _, e := range o.world.engines {
		if len(e.staleObeyed) > 0 {
			return fmt.Errorf("%s obeyed %s after a successor's fence", e.spec.Name, e.staleObeyed[0])
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
	if len(o.lastCopies) > 0 {
		return fmt.Errorf("%s was ordered out", o.lastCopies[0])
	}
	return nil
}

// checkRate bounds the loads that began within one window. Late arrivals may bunch:
// as many as may be under way at once, again after each restart of an engine.
func (o *oracle) checkRate() error {
	recent := 0
	for _, e := range o.world.engines {
		for i := len(e.starts) - 1; i >= 0 && o.world.now.Sub(e.starts[i]) < rateWindow; i-- {
			recent++
		}
	}
	budgets := o.world.document.Budgets
	limit := budgets.LoadsPerSecond*rateWindow.Seconds() + 1 + float64(budgets.ConcurrentLoads*(1+o.restarts))
	if float64(recent) > limit {
		return fmt.Errorf("%d loads began within %v, limit %.0f", recent, rateWindow, limit)
	}
	return nil
}

// checkConverged returns what is missing in a world that had time to settle.
func (o *oracle) checkConverged() error {
	for _, u := range o.world.document.Units() {
		if o.served(u) == 0 {
			return fmt.Errorf("reachability: %s has no resident copy", u.Ref)
		}
	}
	active := 0
	for _, h := range o.world.holders {
		if h.core.phase != phaseActive || !h.core.lease.Holds(o.world.clock(h)) {
			continue
		}
		active++
		for _, a := range h.core.ledger.Accounts() {
			if len(a.Pending) > 0 {
				return fmt.Errorf("ledger: %s has %d open orders", a.Spec.Name, len(a.Pending))
			}
		}
	}
	if active != 1 {
		return fmt.Errorf("lease: %d active holders", active)
	}
	return nil
}
