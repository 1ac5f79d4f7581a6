package placement

import (
	"fmt"
	"slices"

	"limpethub/internal/engine"
)

// relocation brings what has no other copy from one server to another, so that a later
// plan can order out the old copies and use their memory.
type relocation struct {
	// missing lists the units to load on the server to, a model before its adapters.
	missing []int
	// victims lists the copies to order out of the server to.
	victims  []int
	from, to int
	// loss is the value that goes with the victims.
	loss float64
}

// relocationFor finds the cheapest relocation after which a unit fits on a server. It
// is empty while one is under way.
func (b *board) relocationFor(u, s int) (best relocation, found bool) {
	if !b.allows(u, s) {
		return best, false
	}
	need := b.units[u].MemoryMB - b.servers[s].free - b.servers[s].soon
	for _, g := range b.evictable(u, s) {
		need -= b.sizeOf(g)
	}
	for v := range b.units {
		group, ok := b.blocking(v, u, s)
		if !ok || b.sizeOf(group) < need {
			continue
		}
		if b.covered(group, s) {
			return relocation{from: s}, true
		}
		r, fits := b.cheapestMove(group, s)
		if fits && (!found || r.loss < best.loss) {
			best, found = r, true
		}
	}
	return best, found
}

// blocking returns the group of a model on a server that can't be ordered out for the
// unit, since one of its copies has no other.
func (b *board) blocking(v, u, s int) (group []int, ok bool) {
	if v == u || v == b.units[u].base || b.units[v].base >= 0 || !b.resident(v, s) {
		return nil, false
	}
	if _, evictable := b.group(v, s); evictable {
		return nil, false
	}
	return b.residentGroup(v, s)
}

// residentGroup lists a model on a server with its adapters there; it isn't whole
// while one of them is on its way in or out.
func (b *board) residentGroup(v, s int) (group []int, whole bool) {
	group = []int{v}
	for _, a := range b.units[v].adapters {
		switch b.servers[s].states[a] {
		case "":
		case engine.StateResident:
			group = append(group, a)
		default:
			return nil, false
		}
	}
	return group, true
}

// covered reports whether each member of a group has a copy elsewhere, or on its way.
func (b *board) covered(group []int, s int) bool {
	for _, v := range group {
		if !b.copiedElsewhere(v, s) {
			return false
		}
	}
	return true
}

func (b *board) copiedElsewhere(v, s int) bool {
	return slices.ContainsFunc(b.copies[v], func(other int) bool { return other != s })
}

// cheapestMove finds the server that takes a group with the least loss.
func (b *board) cheapestMove(group []int, from int) (best relocation, ok bool) {
	for to := range b.servers {
		if to == from || !b.servers[to].usable() {
			continue
		}
		r := relocation{from: from, to: to, missing: b.missing(group, from, to)}
		if len(r.missing) == 0 || !b.makeWay(&r, group[0]) {
			continue
		}
		if !ok || r.loss < best.loss {
			best, ok = r, true
		}
	}
	return best, ok
}

// missing lists the members of a group without another serving copy, and the model
// that they need on the other server. A nil list means that the server can't take them.
func (b *board) missing(group []int, from, to int) []int {
	var out []int
	for _, v := range group {
		state := b.servers[to].states[v]
		if state == engine.StateUnloading {
			return nil
		}
		if state == "" && !b.copiedElsewhere(v, from) {
			out = append(out, v)
		}
	}
	model := group[0]
	if len(out) > 0 && out[0] != model && b.servers[to].states[model] == "" {
		out = append([]int{model}, out...)
	}
	return out
}

// makeWay picks the victims on the server that a relocation goes to.
func (b *board) makeWay(r *relocation, model int) bool {
	server := &b.servers[r.to]
	need := b.sizeOf(r.missing) - server.free - server.soon
	for _, g := range b.evictable(model, r.to) {
		if need <= 0 {
			break
		}
		r.victims = append(r.victims, g...)
		r.loss += b.lossOf(g, r.to)
		need -= b.sizeOf(g)
	}
	return need <= 0
}

// relocate decides on the moves of a relocation that can be made now.
func (b *board) relocate(r relocation, u int, gain float64) {
	ref := b.units[u].Ref
	for _, v := range r.victims {
		b.unload(v, r.to, gain, fmt.Sprintf("makes room for what leaves %s to %s", b.servers[r.from].Name, ref))
	}
	for _, v := range r.missing {
		b.load(v, r.to, gain, fmt.Sprintf("copied before it leaves %s to %s", b.servers[r.from].Name, ref))
	}
}
