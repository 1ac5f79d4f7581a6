package placement

import (
	"fmt"
	"sort"

	"limpethub/internal/engine"
)

// retire unloads what the configuration no longer has, and adapters whose base went.
func (b *board) retire() {
	for s := range b.servers {
		if !b.servers[s].Ready {
			continue
		}
		for _, c := range b.servers[s].Copies {
			if c.State == engine.StateResident {
				b.retireCopy(s, c)
			}
		}
	}
}

func (b *board) retireCopy(s int, c Copy) {
	server := &b.servers[s]
	u, wanted := b.index[c.Ref]
	reason := "no longer configured"
	if wanted {
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
		Wanted: wanted,
		Reason: reason,
	})
	server.soon += c.MemoryMB
}

// floorOrder lists the units that a floor step looks at: models before adapters,
// then large ones first, since those fit in fewer places.
func (b *board) floorOrder() []int {
	order := make([]int, len(b.units))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		x, y := order[i], order[j]
		if (b.units[x].base < 0) != (b.units[y].base < 0) {
			return b.units[x].base < 0
		}
		return b.bundleMB(x) > b.bundleMB(y)
	})
	return order
}

// bundleMB is the size of a model with its adapters, or of one adapter, in MiB.
func (b *board) bundleMB(u int) int64 {
	total := b.units[u].MemoryMB
	for _, a := range b.units[u].adapters {
		total += b.units[a].MemoryMB
	}
	return total
}

// firstCopies gives a copy to each unit that has none.
func (b *board) firstCopies() {
	for _, u := range b.floorOrder() {
		if len(b.copies[u]) > 0 {
			continue
		}
		if s := b.tightest(u); s >= 0 {
			b.load(u, s, 0, "first copy")
			continue
		}
		if b.makeRoom(u) {
			continue
		}
		b.shortfall(u, true, b.noRoomReason(u))
	}
}

// secondCopies gives a copy in another failure domain to each unit that has copies
// in one only, where there is free memory.
func (b *board) secondCopies() {
	for _, u := range b.secondOrder() {
		if len(b.copies[u]) == 0 || b.domains(u, -1) > 1 {
			continue
		}
		domain := b.servers[b.copies[u][0]].FailureDomain
		if s := b.roomFor(u, domain); s >= 0 {
			b.load(u, s, 0, "second copy, in another failure domain than "+domain)
			continue
		}
		b.shortfall(u, false, "no room for a copy outside failure domain "+domain)
	}
}

// secondOrder lists the units by the value of their work: models before adapters.
func (b *board) secondOrder() []int {
	order := b.floorOrder()
	sort.SliceStable(order, func(i, j int) bool {
		x, y := &b.units[order[i]], &b.units[order[j]]
		if (x.base < 0) != (y.base < 0) {
			return x.base < 0
		}
		return x.weight*x.tokens > y.weight*y.tokens
	})
	return order
}

// tightest finds the server with the least memory left over once it takes a unit and
// the unit's adapters, or else the unit alone; -1 means none. First copies stand close
// together, so that what remains is whole servers of copies that may be ordered out.
func (b *board) tightest(u int) int {
	for _, size := range []int64{b.bundleMB(u), b.units[u].MemoryMB} {
		best := -1
		for s := range b.servers {
			if !b.fits(u, s) || b.room(s) < size {
				continue
			}
			if best < 0 || b.room(s) < b.room(best) {
				best = s
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}

// room is the memory on a server once its pending unloads are done, in MiB.
func (b *board) room(s int) int64 { return b.servers[s].free + b.servers[s].soon }

// roomFor finds the server with the most memory left that can take a unit without
// other changes, outside one failure domain; -1 means none. A server that also has
// room for the unit's adapters goes before one that hasn't.
func (b *board) roomFor(u int, notDomain string) int {
	best, bestWhole := -1, false
	for s := range b.servers {
		if b.servers[s].FailureDomain == notDomain || !b.fits(u, s) {
			continue
		}
		whole := b.servers[s].free+b.servers[s].soon >= b.bundleMB(u)
		better := best < 0 || (whole && !bestWhole) ||
			(whole == bestWhole && b.servers[s].free > b.servers[best].free)
		if better {
			best, bestWhole = s, whole
		}
	}
	return best
}

// fits reports whether a unit can go to a server once pending unloads are done.
func (b *board) fits(u, s int) bool {
	server := &b.servers[s]
	return b.allows(u, s) && server.free+server.soon >= b.units[u].MemoryMB
}

// allows reports whether a unit may go to a server, memory aside.
func (b *board) allows(u, s int) bool {
	server := &b.servers[s]
	if !server.usable() || server.states[u] != "" || !b.hasBase(u, s) {
		return false
	}
	for _, a := range b.units[u].adapters {
		if server.states[a] == engine.StateUnloading {
			return false
		}
	}
	return true
}

// hasBase reports whether an adapter's base serves or will serve on the server.
func (b *board) hasBase(u, s int) bool {
	base := b.units[u].base
	if base < 0 {
		return true
	}
	state := b.servers[s].states[base]
	return state == engine.StateResident || state == engine.StateLoading
}

func (b *board) noRoomReason(u int) string {
	var most int64
	ready := 0
	for s := range b.servers {
		if b.servers[s].usable() {
			ready++
			most = max(most, b.servers[s].free)
		}
	}
	return fmt.Sprintf("needs %d MiB, the most free memory on the %d ready servers is %d MiB",
		b.units[u].MemoryMB, ready, most)
}
