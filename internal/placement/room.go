package placement

import (
	"fmt"
	"slices"
	"sort"

	"limpethub/internal/engine"
)

// placeByMakingRoom makes room for a unit's first copy and places it. It first tries to
// evict copies of units that have other copies, then to load another copy of an adapter's
// base, then to relocate a unit. It reports whether one of these was possible.
func (b *planBuilder) placeByMakingRoom(u int) bool {
	if s, victims := b.cheapestEviction(u); s >= 0 {
		for _, v := range victims {
			b.planUnload(v, s, 0, fmt.Sprintf("makes room for the first copy of %s", b.units[u].Ref))
		}
		b.planLoad(u, s, 0, "first copy")
		return true
	}
	return b.loadWithBase(u) || b.relocateForFirstCopy(u)
}

// cheapestEviction returns the server and the copies to evict from it that make room
// for the unit at the least loss; server is -1 if evictions can't make room anywhere.
func (b *planBuilder) cheapestEviction(u int) (server int, victims []int) {
	server = -1
	var leastLoss float64
	for s := range b.servers {
		serverVictims, loss, ok := b.evictionOn(u, s)
		if ok && (server < 0 || loss < leastLoss) {
			server, victims, leastLoss = s, serverVictims, loss
		}
	}
	return server, victims
}

// evictionOn lists the copies to evict from a server so that a unit fits, adapters
// before their base, and the value lost with them.
func (b *planBuilder) evictionOn(u, s int) (victims []int, loss float64, ok bool) {
	server := &b.servers[s]
	if !b.mayHost(u, s) {
		return nil, 0, false
	}
	neededMB := b.units[u].MemoryMB - server.freeMB - server.unloadingMB
	var groups [][]int
	for _, g := range b.evictableGroups(u, s) {
		if neededMB <= 0 {
			break
		}
		groups = append(groups, g)
		neededMB -= b.groupMB(g)
	}
	if neededMB > 0 {
		return nil, 0, false
	}
	// The loop above may have chosen more than needed. In order of ascending loss per MiB, a
	// group is left on the server if the others free enough memory without it. From here on,
	// -neededMB is the memory freed beyond what the unit needs.
	for _, g := range groups {
		if neededMB+b.groupMB(g) <= 0 && !b.extendsBaseIn(g, groups) {
			neededMB += b.groupMB(g)
			continue
		}
		victims = append(victims, g...)
		loss += b.groupLoss(g, s)
	}
	return victims, loss, true
}

// extendsBaseIn reports whether a member of group is an adapter whose base is in
// another one of groups. Such an adapter must be evicted along with its base.
func (b *planBuilder) extendsBaseIn(group []int, groups [][]int) bool {
	for _, v := range group {
		base := b.units[v].baseIndex
		if base >= 0 && slices.ContainsFunc(groups, func(g []int) bool { return slices.Contains(g, base) && !slices.Contains(group, base) }) {
			return true
		}
	}
	return false
}

// evictableGroups lists the groups of copies on a server that may be evicted for a unit,
// in ascending order of loss per MiB. A group is a model with its adapters, or one
// adapter whose base stays. Each copy in a group has another resident copy elsewhere.
func (b *planBuilder) evictableGroups(u, s int) [][]int {
	if b.evictionGroups[s] == nil {
		b.evictionGroups[s] = b.groupsOn(s)
	}
	base := b.units[u].baseIndex
	out := make([][]int, 0, len(b.evictionGroups[s]))
	for _, g := range b.evictionGroups[s] {
		if !slices.Contains(g, u) && (base < 0 || !slices.Contains(g, base)) {
			out = append(out, slices.Clone(g))
		}
	}
	return disjoint(out)
}

// invalidateEvictionGroups clears the cached groups after copies or demand changed.
func (b *planBuilder) invalidateEvictionGroups() { b.evictionGroups = make([][][]int, len(b.servers)) }

// groupsOn lists the eviction groups of a server, in ascending order of loss per MiB.
func (b *planBuilder) groupsOn(s int) [][]int {
	type ratedGroup struct {
		group     []int
		lossPerMB float64
	}
	var list []ratedGroup
	for v, state := range b.servers[s].states {
		if state != engine.StateResident || b.tooNewToEvict(v, s) {
			continue
		}
		if g, ok := b.evictionGroup(v, s); ok {
			list = append(list, ratedGroup{g, b.groupLoss(g, s) / float64(b.groupMB(g))})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].lossPerMB < list[j].lossPerMB })
	out := make([][]int, 0, len(list))
	for _, r := range list {
		out = append(out, r.group)
	}
	return out
}

// disjoint removes from each group the copies that an earlier group contains.
func disjoint(groups [][]int) [][]int {
	taken := map[int]bool{}
	var out [][]int
	for _, g := range groups {
		g = slices.DeleteFunc(g, func(v int) bool { return taken[v] })
		for _, v := range g {
			taken[v] = true
		}
		if len(g) > 0 {
			out = append(out, g)
		}
	}
	return out
}

// evictionGroup lists a copy with the adapters on the server that depend on it. The
// adapters come first, because they are unloaded before their base. ok is false if a
// member is loading or has no other resident copy.
func (b *planBuilder) evictionGroup(v, s int) (g []int, ok bool) {
	for _, a := range append(slices.Clone(b.units[v].adapterIndexes), v) {
		switch b.servers[s].states[a] {
		case engine.StateResident:
			if b.residentElsewhere(a, s) == 0 {
				return nil, false
			}
			g = append(g, a)
		case engine.StateLoading:
			return nil, false
		default:
			if a == v {
				return nil, false
			}
		}
	}
	return g, true
}

func (b *planBuilder) groupMB(group []int) int64 {
	var totalMB int64
	for _, v := range group {
		totalMB += b.units[v].MemoryMB
	}
	return totalMB
}

func (b *planBuilder) groupLoss(group []int, s int) float64 {
	total := 0.0
	for _, v := range group {
		total += b.copyLoss(v, s)
	}
	return total
}

// hasDependents reports whether an adapter on the server depends on the unit.
func (b *planBuilder) hasDependents(v, s int) bool {
	for _, a := range b.units[v].adapterIndexes {
		if b.servers[s].states[a] != "" {
			return true
		}
	}
	return false
}

// loadWithBase loads an adapter together with another copy of its base on a server that
// has room for both, and reports whether there is one.
func (b *planBuilder) loadWithBase(u int) bool {
	base := b.units[u].baseIndex
	if base < 0 {
		return false
	}
	neededMB := b.units[u].MemoryMB + b.units[base].MemoryMB
	best := -1
	for s := range b.servers {
		server := &b.servers[s]
		if b.fits(base, s) && server.freeMB+server.unloadingMB >= neededMB && (best < 0 || server.freeMB > b.servers[best].freeMB) {
			best = s
		}
	}
	if best < 0 {
		return false
	}
	b.planLoad(base, best, 0, fmt.Sprintf("base for the first copy of %s", b.units[u].Ref))
	b.planLoad(u, best, 0, "first copy")
	return true
}

// relocateForFirstCopy relocates the copies that block the unit's first copy, choosing
// the server where that loses the least, and reports whether there is one.
func (b *planBuilder) relocateForFirstCopy(u int) bool {
	var best relocation
	found := false
	for s := range b.servers {
		r, ok := b.relocationFor(u, s)
		if ok && (!found || r.loss < best.loss) {
			best, found = r, true
		}
	}
	if !found {
		return false
	}
	b.planRelocation(best, u, 0)
	b.planLoad(u, best.from, 0, "first copy")
	return true
}
