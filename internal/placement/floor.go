package placement

import (
	"fmt"
	"sort"

	"limpethub/internal/engine"
)

// unloadUnneeded unloads versions that are no longer configured, and adapters whose
// base isn't on their server.
func (b *planBuilder) unloadUnneeded() {
	for s := range b.servers {
		if !b.servers[s].Ready {
			continue
		}
		for _, c := range b.servers[s].Copies {
			if c.State == engine.StateResident {
				b.unloadIfUnneeded(s, c)
			}
		}
	}
}

func (b *planBuilder) unloadIfUnneeded(s int, c Copy) {
	server := &b.servers[s]
	u, configured := b.unitIndex[c.Ref]
	reason := "no longer configured"
	if configured {
		if b.hasBase(u, s) {
			return
		}
		server.states[u] = engine.StateUnloading
		reason = "its base isn't on the server"
	}
	b.plan.Moves = append(b.plan.Moves, Move{
		Action: engine.ActionUnload,
		Server: server.Name,
		Ref:    c.Ref,
		Wanted: configured,
		Reason: reason,
	})
	server.unloadingMB += c.MemoryMB
}

// largestFirst lists the units in the order in which copies are placed: models before
// adapters, then by descending size, because large units fit on fewer servers.
func (b *planBuilder) largestFirst() []int {
	order := make([]int, len(b.units))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		x, y := order[i], order[j]
		if (b.units[x].baseIndex < 0) != (b.units[y].baseIndex < 0) {
			return b.units[x].baseIndex < 0
		}
		return b.bundleMB(x) > b.bundleMB(y)
	})
	return order
}

// bundleMB returns the size of a model with its adapters, or of one adapter, in MiB.
func (b *planBuilder) bundleMB(u int) int64 {
	totalMB := b.units[u].MemoryMB
	for _, a := range b.units[u].adapterIndexes {
		totalMB += b.units[a].MemoryMB
	}
	return totalMB
}

// placeFirstCopies places a copy of each unit that has none.
func (b *planBuilder) placeFirstCopies() {
	for _, u := range b.largestFirst() {
		if len(b.copies[u]) > 0 {
			continue
		}
		if s := b.tightestServer(u); s >= 0 {
			b.planLoad(u, s, 0, "first copy")
			continue
		}
		if b.placeByMakingRoom(u) {
			continue
		}
		b.addShortfall(u, true, b.noRoomReason(u))
	}
}

// placeSecondCopies adds a copy in a second failure domain for each unit whose copies
// are all in one domain. It uses only memory that is free or being freed.
func (b *planBuilder) placeSecondCopies() {
	for _, u := range b.mostValuableFirst() {
		if len(b.copies[u]) == 0 || b.countDomains(u, -1) > 1 {
			continue
		}
		domain := b.servers[b.copies[u][0]].FailureDomain
		if s := b.roomiestServer(u, domain); s >= 0 {
			b.planLoad(u, s, 0, "second copy, in another failure domain than "+domain)
			continue
		}
		b.addShortfall(u, false, "no room for a copy outside failure domain "+domain)
	}
}

// mostValuableFirst lists the models before the adapters, each by descending value of
// their demand; units of equal value stay in the order of largestFirst.
func (b *planBuilder) mostValuableFirst() []int {
	order := b.largestFirst()
	sort.SliceStable(order, func(i, j int) bool {
		x, y := &b.units[order[i]], &b.units[order[j]]
		if (x.baseIndex < 0) != (y.baseIndex < 0) {
			return x.baseIndex < 0
		}
		return x.tokenWeight*x.tokensPerSecond > y.tokenWeight*y.tokensPerSecond
	})
	return order
}

// tightestServer returns the index of the server that has the least memory left after it
// takes the unit together with its adapters. If no server has room for all of these, it
// considers the unit alone; it returns -1 if no server has room for that either. A unit's
// only copy can't be evicted, so such copies are packed onto few servers. The memory of the
// other servers is left to copies that can be evicted to make room for large units.
func (b *planBuilder) tightestServer(u int) int {
	for _, sizeMB := range []int64{b.bundleMB(u), b.units[u].MemoryMB} {
		best := -1
		for s := range b.servers {
			if !b.fits(u, s) || b.availableMB(s) < sizeMB {
				continue
			}
			if best < 0 || b.availableMB(s) < b.availableMB(best) {
				best = s
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}

// availableMB returns the memory on a server once its pending unloads are done, in MiB.
func (b *planBuilder) availableMB(s int) int64 { return b.servers[s].freeMB + b.servers[s].unloadingMB }

// roomiestServer returns the server outside excludedDomain that has the most free memory
// and can take a unit without evictions; -1 means none. Servers that also have room for
// the unit's adapters are preferred.
func (b *planBuilder) roomiestServer(u int, excludedDomain string) int {
	best, bestFitsBundle := -1, false
	for s := range b.servers {
		if b.servers[s].FailureDomain == excludedDomain || !b.fits(u, s) {
			continue
		}
		fitsBundle := b.servers[s].freeMB+b.servers[s].unloadingMB >= b.bundleMB(u)
		better := best < 0 || (fitsBundle && !bestFitsBundle) ||
			(fitsBundle == bestFitsBundle && b.servers[s].freeMB > b.servers[best].freeMB)
		if better {
			best, bestFitsBundle = s, fitsBundle
		}
	}
	return best
}

// fits reports whether a server has room for a unit once its pending unloads are done.
func (b *planBuilder) fits(u, s int) bool {
	server := &b.servers[s]
	return b.mayHost(u, s) && server.freeMB+server.unloadingMB >= b.units[u].MemoryMB
}

// mayHost reports whether a server may take a unit, regardless of memory.
func (b *planBuilder) mayHost(u, s int) bool {
	server := &b.servers[s]
	if !server.acceptsLoads() || server.states[u] != "" || !b.hasBase(u, s) {
		return false
	}
	for _, a := range b.units[u].adapterIndexes {
		if server.states[a] == engine.StateUnloading {
			return false
		}
	}
	return true
}

// hasBase reports whether an adapter's base is resident or loading on the server; true
// for a model.
func (b *planBuilder) hasBase(u, s int) bool {
	base := b.units[u].baseIndex
	if base < 0 {
		return true
	}
	state := b.servers[s].states[base]
	return state == engine.StateResident || state == engine.StateLoading
}

func (b *planBuilder) noRoomReason(u int) string {
	var mostFreeMB int64
	acceptingServers := 0
	for s := range b.servers {
		if b.servers[s].acceptsLoads() {
			acceptingServers++
			mostFreeMB = max(mostFreeMB, b.servers[s].freeMB)
		}
	}
	return fmt.Sprintf("needs %d MiB, the most free memory on the %d servers that accept loads, after the moves of this plan, is %d MiB",
		b.units[u].MemoryMB, acceptingServers, mostFreeMB)
}
