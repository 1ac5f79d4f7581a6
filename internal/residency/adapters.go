package residency

import (
	"fmt"
	"sort"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// adapterMemory is how long after its last request an adapter still gets a copy without
// one that waits. Its load takes some milliseconds, so that there is no need to load
// adapters ahead.
const adapterMemory = 10 * time.Second

// planAdapters gives each adapter in use a copy beside its base. It answers many adapters
// that share few slots: those that requests wait for come first, and displace what nobody
// uses.
func (b *board) planAdapters() {
	order := b.adaptersInUse()
	sort.SliceStable(order, func(i, j int) bool {
		x, y := b.Needs[order[i].Ref], b.Needs[order[j].Ref]
		if x.Waiting != y.Waiting {
			return x.Waiting > y.Waiting
		}
		return x.Held > y.Held
	})
	for _, a := range order {
		if b.adapterCopies[a.Ref] < b.adapterWanted(a) {
			b.provideAdapter(a)
		}
	}
}

// adaptersInUse returns the adapters that were asked for lately.
func (b *board) adaptersInUse() []Adapter {
	var out []Adapter
	for _, a := range b.Adapters {
		need := b.Needs[a.Ref]
		if !need.LastUsed.IsZero() && b.Now.Sub(need.LastUsed) <= adapterMemory {
			out = append(out, a)
		}
	}
	return out
}

func (b *board) adapterWanted(a Adapter) int {
	return 1 + int(b.Needs[a.Ref].Held/adapterCopyLoad)
}

// provideAdapter orders an adapter, or the unload of one that makes a slot free.
func (b *board) provideAdapter(a Adapter) {
	var best *place
	for _, p := range b.holders[a.Base] {
		if !takesAdapter(a, p) {
			continue
		}
		if best == nil || p.slots > best.slots || (p.slots == best.slots && p.Requests < best.Requests) {
			best = p
		}
	}
	if best == nil {
		return
	}
	need := b.Needs[a.Ref]
	if best.slots > 0 && best.free >= a.MemoryMB {
		best.slots--
		best.free -= a.MemoryMB
		b.order(best, Move{Action: engine.ActionLoad, Ref: a.Ref,
			Reason: fmt.Sprintf("adapter without a copy, load of %.1f copies, %d wait", need.Load, need.Waiting)})
		return
	}
	if need.Waiting == 0 {
		return
	}
	if victim, ok := b.idleAdapter(best); ok {
		b.order(best, Move{Action: engine.ActionUnload, Ref: victim, Reason: fmt.Sprintf("makes a slot free for %s", a.Ref)})
	}
}

// takesAdapter reports whether a server that holds the base can be told to load a.
func takesAdapter(a Adapter, p *place) bool {
	_, has := p.Adapters[a.Ref]
	return p.Ready && !has
}

// idleAdapter picks the adapter on a server that was unused for longest.
func (b *board) idleAdapter(p *place) (victim modelref.Ref, ok bool) {
	for _, ref := range sortedRefs(p.Adapters) {
		need := b.Needs[ref]
		if p.Adapters[ref] != engine.StateResident || need.Waiting > 0 || b.Now.Sub(need.LastUsed) < adapterTurnTime {
			continue
		}
		if !ok || need.LastUsed.Before(b.Needs[victim].LastUsed) {
			victim, ok = ref, true
		}
	}
	return victim, ok
}
