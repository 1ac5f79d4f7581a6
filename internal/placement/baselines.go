package placement

import (
	"sort"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/kernel"
)

func init() {
	kernel.Register(kernel.Module{Name: "placement.static", New: func() any { return &Static{} }})
	kernel.Register(kernel.Module{Name: "placement.lru", New: func() any { return &LRU{} }})
}

// Static maintains the minimum number of copies of each unit and ignores demand.
type Static struct{}

var _ Policy = (*Static)(nil)

// Plan implements Policy.
func (p *Static) Plan(in Input) Plan {
	in.IgnoreDemand = true
	return NewValue().Plan(in)
}

// LRU loads a unit when it is requested and has no copy, or only overloaded ones, and
// makes room by evicting the least recently used copies. It is the common way to serve
// many models and serves as a baseline. It doesn't maintain a minimum number of copies;
// the ledger refuses an unload of a last copy.
type LRU struct{}

var _ Policy = (*LRU)(nil)

// recentUse is how recently a unit must have been used to be loaded.
const recentUse = 2 * time.Second

// Plan implements Policy.
func (p *LRU) Plan(in Input) Plan {
	b := newPlanBuilder(in)
	b.unloadUnneeded()
	b.spreadDemand()
	lastUsed := map[int]time.Time{}
	for _, e := range in.Demand {
		if u, ok := b.unitIndex[e.Ref]; ok {
			lastUsed[u] = e.LastUsed
		}
	}
	for u := range b.units {
		usedRecently := !lastUsed[u].IsZero() && in.Now.Sub(lastUsed[u]) <= recentUse
		if usedRecently && b.loadBudget > 0 && b.needsCopy(u) {
			b.loadRecentlyUsed(u, lastUsed)
		}
	}
	return b.plan
}

// needsCopy reports whether a unit has no copy, or only overloaded ones.
func (b *planBuilder) needsCopy(u int) bool {
	for _, s := range b.copies[u] {
		if b.spareCapacity(s) > 0 {
			return false
		}
	}
	return true
}

// loadRecentlyUsed loads a unit where there is room, or else on the server whose copies
// to evict were last used the longest ago.
func (b *planBuilder) loadRecentlyUsed(u int, lastUsed map[int]time.Time) {
	if s := b.roomiestServer(u, ""); s >= 0 {
		b.orderLoad(u, s, 0, "asked for")
		b.spreadDemand()
		return
	}
	best, oldestUse := -1, b.input.Now
	var victims []int
	for s := range b.servers {
		candidates, latestUse, ok := b.leastRecentlyUsedVictims(u, s, lastUsed)
		if ok && latestUse.Before(oldestUse) {
			best, oldestUse, victims = s, latestUse, candidates
		}
	}
	if best < 0 {
		return
	}
	for _, v := range victims {
		b.orderUnload(v, best, 0, "least recently used")
	}
	b.orderLoad(u, best, 0, "asked for")
	b.spreadDemand()
}

// leastRecentlyUsedVictims lists the copies to evict from a server so that a unit fits,
// the least recently used first, and the time of the latest use of any of them.
func (b *planBuilder) leastRecentlyUsedVictims(u, s int, lastUsed map[int]time.Time) (victims []int, latestUse time.Time, ok bool) {
	if !b.mayHost(u, s) {
		return nil, latestUse, false
	}
	var candidates []int
	for v, state := range b.servers[s].states {
		if state == engine.StateResident && v != u && v != b.units[u].baseIndex {
			candidates = append(candidates, v)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return lastUsed[candidates[i]].Before(lastUsed[candidates[j]]) })
	neededMB := b.units[u].MemoryMB - b.servers[s].freeMB - b.servers[s].unloadingMB
	for _, v := range candidates {
		if neededMB <= 0 {
			break
		}
		victims = append(victims, v)
		neededMB -= b.units[v].MemoryMB
		if lastUsed[v].After(latestUse) {
			latestUse = lastUsed[v]
		}
	}
	return victims, latestUse, neededMB <= 0
}
