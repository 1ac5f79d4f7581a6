package placement

import (
	"fmt"
	"slices"

	"limpethub/internal/engine"
)

// relocation copies units that have no other copy from one server to another, so that a
// later plan can evict the old copies and use their memory.
type relocation struct {
	// toLoad lists the units to load on server to, a model before its adapters.
	toLoad []int
	// victims lists the copies to evict from server to.
	victims []int
	// from is the server to make room on, to the server that takes the copies.
	from, to int
	// loss is the value lost with the victims.
	loss float64
}

// relocationFor returns the cheapest relocation after which a unit fits on a server. The
// result has no moves if all copies of a group that blocks the unit are already resident
// or loading on other servers.
func (b *planBuilder) relocationFor(u, s int) (best relocation, found bool) {
	if !b.mayHost(u, s) {
		return best, false
	}
	neededMB := b.units[u].MemoryMB - b.servers[s].freeMB - b.servers[s].unloadingMB
	for _, g := range b.evictableGroups(u, s) {
		neededMB -= b.groupMB(g)
	}
	// neededMB is now what remains to be freed once all evictable groups are evicted. One
	// blocking group must free all of it.
	for v := range b.units {
		group, ok := b.blockingGroup(v, u, s)
		if !ok || b.groupMB(group) < neededMB {
			continue
		}
		if b.allCopiedElsewhere(group, s) {
			return relocation{from: s}, true
		}
		r, fits := b.cheapestRelocation(group, s)
		if fits && (!found || r.loss < best.loss) {
			best, found = r, true
		}
	}
	return best, found
}

// blockingGroup returns a model on a server with its adapters there, if they can't be
// evicted for unit u because one of them has no other resident copy.
func (b *planBuilder) blockingGroup(v, u, s int) (group []int, ok bool) {
	if v == u || v == b.units[u].baseIndex || b.units[v].baseIndex >= 0 || !b.resident(v, s) {
		return nil, false
	}
	if _, evictable := b.evictionGroup(v, s); evictable {
		return nil, false
	}
	return b.modelGroup(v, s)
}

// modelGroup lists a model on a server with its adapters there, the model first.
// complete is false while one of the adapters is loading or unloading.
func (b *planBuilder) modelGroup(v, s int) (group []int, complete bool) {
	group = []int{v}
	for _, a := range b.units[v].adapterIndexes {
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

// allCopiedElsewhere reports whether each member of a group has a copy on another
// server, resident or loading.
func (b *planBuilder) allCopiedElsewhere(group []int, s int) bool {
	for _, v := range group {
		if !b.copiedElsewhere(v, s) {
			return false
		}
	}
	return true
}

func (b *planBuilder) copiedElsewhere(v, s int) bool {
	return slices.ContainsFunc(b.copies[v], func(other int) bool { return other != s })
}

// cheapestRelocation returns the relocation of a group off a server that loses the least. The
// group comes from modelGroup, so that its model is the first member.
func (b *planBuilder) cheapestRelocation(group []int, from int) (best relocation, ok bool) {
	for to := range b.servers {
		if to == from || !b.servers[to].acceptsLoads() {
			continue
		}
		r := relocation{from: from, to: to, toLoad: b.unitsToCopy(group, from, to)}
		if len(r.toLoad) == 0 || !b.chooseVictims(&r, group[0]) {
			continue
		}
		if !ok || r.loss < best.loss {
			best, ok = r, true
		}
	}
	return best, ok
}

// unitsToCopy lists the members of a group that have no other copy, preceded by the
// group's model if server to doesn't have it. A nil list means that the server can't take
// them, or that nothing needs copying. The model is the first member of the group.
func (b *planBuilder) unitsToCopy(group []int, from, to int) []int {
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

// chooseVictims adds the victims and their loss to a relocation. It reports whether they
// make enough room on the destination.
func (b *planBuilder) chooseVictims(r *relocation, model int) bool {
	server := &b.servers[r.to]
	neededMB := b.groupMB(r.toLoad) - server.freeMB - server.unloadingMB
	for _, g := range b.evictableGroups(model, r.to) {
		if neededMB <= 0 {
			break
		}
		r.victims = append(r.victims, g...)
		r.loss += b.groupLoss(g, r.to)
		neededMB -= b.groupMB(g)
	}
	return neededMB <= 0
}

// planRelocation adds the moves of a relocation to the plan.
func (b *planBuilder) planRelocation(r relocation, u int, gain float64) {
	ref := b.units[u].Ref
	for _, v := range r.victims {
		b.planUnload(v, r.to, gain, fmt.Sprintf("makes room for copies moved off %s for %s", b.servers[r.from].Name, ref))
	}
	for _, v := range r.toLoad {
		b.planLoad(v, r.to, gain, fmt.Sprintf("copied before it is evicted from %s for %s", b.servers[r.from].Name, ref))
	}
}
