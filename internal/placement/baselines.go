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

// Static gives each unit its floor of copies and never looks at demand.
type Static struct{}

var _ Policy = (*Static)(nil)

// Plan implements Policy.
func (p *Static) Plan(in Input) Plan {
	in.FloorOnly = true
	return NewValue().Plan(in)
}

// LRU loads a unit when it is asked for and has no copy, or too few for its demand, and
// makes room by ordering out what was used the longest ago. It is the usual way to
// serve many models, and keeps no floor: the ledger refuses where it would order out a
// last copy.
type LRU struct{}

var _ Policy = (*LRU)(nil)

// usedWithin is how recent a use makes a unit wanted.
const usedWithin = 2 * time.Second

// Plan implements Policy.
func (p *LRU) Plan(in Input) Plan {
	b := newBoard(in)
	b.retire()
	b.spread()
	used := map[int]time.Time{}
	for _, e := range in.Demand {
		if u, ok := b.index[e.Ref]; ok {
			used[u] = e.LastUsed
		}
	}
	for u := range b.units {
		recent := !used[u].IsZero() && in.Now.Sub(used[u]) <= usedWithin
		if recent && b.loads > 0 && b.lacksCopy(u) {
			b.loadByUse(u, used)
		}
	}
	return b.plan
}

// lacksCopy reports whether a unit has no copy, or only overloaded ones.
func (b *board) lacksCopy(u int) bool {
	for _, s := range b.copies[u] {
		if b.spare(s) > 0 {
			return false
		}
	}
	return true
}

// loadByUse loads a unit where there is room, or else where the copies used the
// longest ago are.
func (b *board) loadByUse(u int, used map[int]time.Time) {
	if s := b.roomFor(u, ""); s >= 0 {
		b.load(u, s, 0, "asked for")
		b.spread()
		return
	}
	best, oldest := -1, b.in.Now
	var victims []int
	for s := range b.servers {
		list, newest, ok := b.victimsByUse(u, s, used)
		if ok && newest.Before(oldest) {
			best, oldest, victims = s, newest, list
		}
	}
	if best < 0 {
		return
	}
	for _, v := range victims {
		b.unload(v, best, 0, "least recently used")
	}
	b.load(u, best, 0, "asked for")
	b.spread()
}

// victimsByUse lists the copies to order out of a server, the least recently used
// first, and when the last of them was used.
func (b *board) victimsByUse(u, s int, used map[int]time.Time) (victims []int, newest time.Time, ok bool) {
	if !b.allows(u, s) {
		return nil, newest, false
	}
	var order []int
	for v, state := range b.servers[s].states {
		if state == engine.StateResident && v != u && v != b.units[u].base {
			order = append(order, v)
		}
	}
	sort.SliceStable(order, func(i, j int) bool { return used[order[i]].Before(used[order[j]]) })
	need := b.units[u].MemoryMB - b.servers[s].free - b.servers[s].soon
	for _, v := range order {
		if need <= 0 {
			break
		}
		victims = append(victims, v)
		need -= b.units[v].MemoryMB
		if used[v].After(newest) {
			newest = used[v]
		}
	}
	return victims, newest, need <= 0
}
