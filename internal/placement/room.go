package placement

import (
	"fmt"
	"slices"
	"sort"

	"limpethub/internal/engine"
)

// makeRoom frees memory for a unit's first copy: by ordering out copies of units
// that have others, or else by first copying a unit elsewhere. It reports whether
// something is under way.
func (b *board) makeRoom(u int) bool {
	if s, victims := b.cheapestEviction(u); s >= 0 {
		for _, v := range victims {
			b.unload(v, s, 0, fmt.Sprintf("makes room for the first copy of %s", b.units[u].Ref))
		}
		b.load(u, s, 0, "first copy")
		return true
	}
	return b.baseFor(u) || b.shift(u)
}

// cheapestEviction finds the server where the least valuable copies must go to fit
// the unit; -1 means that no server can be freed that way.
func (b *board) cheapestEviction(u int) (server int, victims []int) {
	server = -1
	var cost float64
	for s := range b.servers {
		candidate, loss, ok := b.eviction(u, s)
		if ok && (server < 0 || loss < cost) {
			server, victims, cost = s, candidate, loss
		}
	}
	return server, victims
}

// eviction lists the copies to order out of a server so that a unit fits, and what
// that loses. Adapters come before their base.
func (b *board) eviction(u, s int) (victims []int, loss float64, ok bool) {
	server := &b.servers[s]
	if !b.allows(u, s) {
		return nil, 0, false
	}
	need := b.units[u].MemoryMB - server.free - server.soon
	var groups [][]int
	for _, g := range b.evictable(u, s) {
		if need <= 0 {
			break
		}
		groups = append(groups, g)
		need -= b.sizeOf(g)
	}
	if need > 0 {
		return nil, 0, false
	}
	for _, g := range groups {
		if need+b.sizeOf(g) <= 0 && !b.extends(g, groups) {
			need += b.sizeOf(g)
			continue
		}
		victims = append(victims, g...)
		loss += b.lossOf(g, s)
	}
	return victims, loss, true
}

// extends reports whether a member of the group is an adapter of a model in one of the
// groups, which can't go without it.
func (b *board) extends(group []int, groups [][]int) bool {
	for _, v := range group {
		base := b.units[v].base
		if base >= 0 && slices.ContainsFunc(groups, func(g []int) bool { return slices.Contains(g, base) && !slices.Contains(group, base) }) {
			return true
		}
	}
	return false
}

// evictable lists the groups of copies on a server that may be ordered out for a unit,
// the least valuable per MiB first. A group is a model with its adapters, or one adapter
// whose model stays. Each copy has another one that serves.
func (b *board) evictable(u, s int) [][]int {
	if b.groups[s] == nil {
		b.groups[s] = b.allGroups(s)
	}
	base := b.units[u].base
	out := make([][]int, 0, len(b.groups[s]))
	for _, g := range b.groups[s] {
		if !slices.Contains(g, u) && (base < 0 || !slices.Contains(g, base)) {
			out = append(out, slices.Clone(g))
		}
	}
	return disjoint(out)
}

// forgetGroups drops what is remembered of evictable groups, since the board changed.
func (b *board) forgetGroups() { b.groups = make([][][]int, len(b.servers)) }

// allGroups lists the groups of a server, the least valuable per MiB first.
func (b *board) allGroups(s int) [][]int {
	type rated struct {
		group []int
		price float64
	}
	var list []rated
	for v, state := range b.servers[s].states {
		if state != engine.StateResident || b.young(v, s) {
			continue
		}
		if g, ok := b.group(v, s); ok {
			list = append(list, rated{g, b.lossOf(g, s) / float64(b.sizeOf(g))})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].price < list[j].price })
	out := make([][]int, 0, len(list))
	for _, r := range list {
		out = append(out, r.group)
	}
	return out
}

// disjoint drops from each group the copies that an earlier one holds.
func disjoint(groups [][]int) [][]int {
	seen := map[int]bool{}
	var out [][]int
	for _, g := range groups {
		g = slices.DeleteFunc(g, func(v int) bool { return seen[v] })
		for _, v := range g {
			seen[v] = true
		}
		if len(g) > 0 {
			out = append(out, g)
		}
	}
	return out
}

// group lists a copy with the adapters on the server that need it, adapters first.
// It isn't ok if one of them has no other serving copy.
func (b *board) group(v, s int) (g []int, ok bool) {
	for _, a := range append(slices.Clone(b.units[v].adapters), v) {
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

func (b *board) sizeOf(group []int) int64 {
	var total int64
	for _, v := range group {
		total += b.units[v].MemoryMB
	}
	return total
}

func (b *board) lossOf(group []int, s int) float64 {
	total := 0.0
	for _, v := range group {
		total += b.loss(v, s)
	}
	return total
}

// supports reports whether an adapter on the server needs the model.
func (b *board) supports(v, s int) bool {
	for _, a := range b.units[v].adapters {
		if b.servers[s].states[a] != "" {
			return true
		}
	}
	return false
}

// baseFor gives an adapter's base another copy where both fit.
func (b *board) baseFor(u int) bool {
	base := b.units[u].base
	if base < 0 {
		return false
	}
	need := b.units[u].MemoryMB + b.units[base].MemoryMB
	best := -1
	for s := range b.servers {
		server := &b.servers[s]
		if b.fits(base, s) && server.free+server.soon >= need && (best < 0 || server.free > b.servers[best].free) {
			best = s
		}
	}
	if best < 0 {
		return false
	}
	b.load(base, best, 0, fmt.Sprintf("base for the first copy of %s", b.units[u].Ref))
	b.load(u, best, 0, "first copy")
	return true
}

// shift relocates what blocks the unit's first copy, where that loses the least.
func (b *board) shift(u int) bool {
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
	b.relocate(best, u, 0)
	b.load(u, best.from, 0, "first copy")
	return true
}
