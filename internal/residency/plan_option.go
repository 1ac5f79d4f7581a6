package residency

import (
	"math"
	"slices"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// option is a way to give a model a copy on a server.
type option struct {
	place *place
	// victim is the model that has to go first; empty when there is room.
	victim    modelref.Ref
	fromStore bool
	cost      float64
}

func (b *board) bestOption(w want) (best option, ok bool) {
	domains := b.domainsOf(w.model.Ref)
	for _, p := range b.places {
		if _, has := p.Models[w.model.Ref]; has {
			continue
		}
		limit := math.Inf(1)
		if ok {
			limit = best.cost
		}
		if o, cheaper := b.optionOn(w, p, domains, limit); cheaper {
			best, ok = o, true
		}
	}
	return best, ok
}

// optionOn weighs a server, and reports whether it is possible for less than limit.
// domains are those in which the model has a copy.
func (b *board) optionOn(w want, p *place, domains map[string]bool, limit float64) (option, bool) {
	o := option{place: p}
	o.cost, o.fromStore = b.loadTime(w.model, p)
	if o.fromStore && !b.mayLoad(w) {
		o.cost += costNoBudget
	}
	if !p.Ready {
		o.cost += costBusy
	}
	o.cost += costPerRequest * float64(p.Requests)
	if domains[p.FailureDomain] {
		o.cost += costSameDomain
	}
	if p.free+p.soon >= w.model.MemoryMB || o.cost >= limit {
		return o, o.cost < limit
	}
	victim, harm, ok := b.victim(w, p)
	o.victim = victim
	o.cost += costEvict + harm + b.drainSeconds(p, victim)
	return o, ok && o.cost < limit
}

// drainSeconds is how long an unload waits for the runs on its model, which are its part
// of the server's requests by load. The last of n runs that end at random ends after
// about ln(n+1) times their mean rest.
func (b *board) drainSeconds(p *place, victim modelref.Ref) float64 {
	var sum, own float64
	for ref := range p.Models {
		load := b.Needs[ref].Load / float64(max(1, b.copies[ref]))
		sum += load
		if ref == victim {
			own = load
		}
	}
	if own == 0 {
		return 0
	}
	return meanRest * math.Log1p(float64(p.Requests)*own/sum)
}

// loadTime is how long a load of the model takes on the server, in seconds.
func (b *board) loadTime(m Model, p *place) (seconds float64, fromStore bool) {
	switch {
	case p.InMemory[m.Ref]:
		return m.Warm.Seconds(), false
	case p.OnDisk[m.Ref]:
		return m.Disk.Seconds(), false
	}
	return m.Load.Seconds(), true
}

// domainsOf returns the failure domains in which the model has a copy that stays.
func (b *board) domainsOf(ref modelref.Ref) map[string]bool {
	out := map[string]bool{}
	for _, p := range b.places {
		if state, has := p.Models[ref]; has && state != engine.StateUnloading {
			out[p.FailureDomain] = true
		}
	}
	return out
}

// victim picks the model that may give way on a server with the least harm: one with
// more copies than its demand calls for, or, for a model that has none while requests
// wait, one that nobody has asked for lately.
func (b *board) victim(w want, p *place) (victim modelref.Ref, harm float64, ok bool) {
	for _, ref := range sortedRefs(p.Models) {
		if p.Models[ref] != engine.StateResident || p.free+p.soon+b.models[ref].MemoryMB < w.model.MemoryMB {
			continue
		}
		may, cost := b.mayGo(w, ref)
		if may && (!ok || cost < harm) {
			victim, harm, ok = ref, cost, true
		}
	}
	return victim, harm, ok
}

func (b *board) mayGo(w want, ref modelref.Ref) (may bool, harm float64) {
	value := w.value
	if w.first {
		value = max(value, idleValue)
	}
	need := b.Needs[ref]
	left := b.copies[ref] - 1
	if left >= 1 && b.serving[ref] > 1 {
		each := need.Held / float64(left)
		if left >= b.wanted[ref] || w.waiting || each*gainFactor < value {
			return true, each
		}
	}
	idle := need.Waiting == 0 && b.Now.Sub(need.LastUsed) >= turnTime
	if w.waiting && idle {
		return true, costLastCopy + 1/(1+b.Now.Sub(need.LastUsed).Seconds())
	}
	return false, 0
}

func sortedRefs(m map[modelref.Ref]engine.HoldingState) []modelref.Ref {
	out := make([]modelref.Ref, 0, len(m))
	for ref := range m {
		out = append(out, ref)
	}
	slices.Sort(out)
	return out
}
