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

// Static maintains a first copy of each unit and, where there is room, a second one in
// another failure domain. It ignores demand.
type Static struct{}

var _ Policy = (*Static)(nil)

func (p *Static) Plan(in Input) Plan {
	in.IgnoreDemand = true
	return NewValue().Plan(in)
}

// LRU loads a unit when it is requested and has no copy, or only overloaded ones, and
// makes room by evicting the least recently used copies. It is a common way to serve many
// models, and serves for comparison with Value. Unlike Static, it doesn't maintain a first
// and second copy of each unit; the ledger refuses an unload of a last copy.
type LRU struct{}

var _ Policy = (*LRU)(nil)

// maxUseAge is the age of the last request above which a unit isn't loaded.
const maxUseAge = 2 * time.Second

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
		usedRecently := !lastUsed[u].IsZero() && in.Now.Sub(lastUsed[u]) <= maxUseAge
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

// loadRecentlyUsed loads a unit where there is room. Otherwise it evicts the least recently
// used copies of one server. It chooses the server by the latest use of any copy that would be
// evicted there: the one where that use is the longest ago.
func (b *planBuilder) loadRecentlyUsed(u int, lastUsed map[int]time.Time) {
	if s := b.roomiestServer(u, ""); s >= 0 {
		b.planLoad(u, s, 0, "requested, and no copy has spare capacity")
		b.spreadDemand()
		return
	}
	best, oldestUse := -1, b.input.Now
	var victims []int
	for s := range b.servers {
		serverVictims, latestUse, ok := b.leastRecentlyUsedVictims(u, s, lastUsed)
		if ok && latestUse.Before(oldestUse) {
			best, oldestUse, victims = s, latestUse, serverVictims
		}
	}
	if best < 0 {
		return
	}
	for _, v := range victims {
		b.planUnload(v, best, 0, "least recently used")
	}
	b.planLoad(u, best, 0, "requested, and no copy has spare capacity")
	b.spreadDemand()
}

// leastRecentlyUsedVictims lists the copies to evict from a server so that a unit fits,
// the least recently used first, and the time of the latest use of any of them.
func (b *planBuilder) leastRecentlyUsedVictims(u, s int, lastUsed map[int]time.Time) (victims []int, latestUse time.Time, ok bool) {
	if !b.mayHost(u, s) {
		return nil, latestUse, false
	}
	var evictable []int
	for v, state := range b.servers[s].states {
		if state == engine.StateResident && v != u && v != b.units[u].baseIndex {
			evictable = append(evictable, v)
		}
	}
	sort.SliceStable(evictable, func(i, j int) bool { return lastUsed[evictable[i]].Before(lastUsed[evictable[j]]) })
	neededMB := b.units[u].MemoryMB - b.servers[s].freeMB - b.servers[s].unloadingMB
	for _, v := range evictable {
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
