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
		if need+b.sizeOf(g) <= 0 {
			need += b.sizeOf(g)
			continue
		}
		victims = append(victims, g...)
		loss += b.lossOf(g, s)
	}
	return victims, loss, true
}

// evictable lists the groups of copies on a server that may be ordered out, the
// least valuable per MiB first. A group is a model with its adapters, or one adapter
// whose model stays. Each copy has another one that serves.
func (b *board) evictable(u, s int) [][]int {
	var out [][]int
	for v := range b.units {
		if v == u || v == b.units[u].base {
			continue
		}
		if g, ok := b.group(v, s); ok {
			out = append(out, g)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		return b.lossOf(out[i], s)/float64(b.sizeOf(out[i])) < b.lossOf(out[j], s)/float64(b.sizeOf(out[j]))
	})
	return disjoint(out)
}

// disjoint drops groups that repeat a copy of an earlier one.
func disjoint(groups [][]int) [][]int {
	seen := map[int]bool{}
	var out [][]int
	for _, g := range groups {
		repeated := false
		for _, v := range g {
			repeated = repeated || seen[v]
		}
		if repeated {
			continue
		}
		for _, v := range g {
			seen[v] = true
		}
		out = append(out, g)
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

// shift copies one unit to another server, so that a later plan can order out the
// old copy and use its memory for u.
func (b *board) shift(u int) bool {
	for s := range b.servers {
		server := &b.servers[s]
		if !b.allows(u, s) {
			continue
		}
		need := b.units[u].MemoryMB - server.free - server.soon
		if b.shiftFrom(u, s, need) {
			return true
		}
	}
	return false
}

func (b *board) shiftFrom(u, s int, need int64) bool {
	for v := range b.units {
		if v == b.units[u].base || !b.resident(v, s) || b.supports(v, s) || b.units[v].MemoryMB < need {
			continue
		}
		if to := b.roomFor(v, ""); to >= 0 {
			b.load(v, to, 0, fmt.Sprintf("copied before it leaves %s to %s", b.servers[s].Name, b.units[u].Ref))
			return true
		}
	}
	return false
}
