package placement

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// unit is a version with its demand.
type unit struct {
	site.Unit
	// base is the index of the adapter's base, or -1.
	base int
	// adapters holds the indexes of the adapters that extend the unit.
	adapters []int
	// tokens is the demand for the unit itself, in tokens per second.
	tokens float64
	// weight is the value of one token of it.
	weight float64
}

// board is the working state of one plan: servers by units, changed as moves are
// decided on.
type board struct {
	in      Input
	units   []unit
	index   map[modelref.Ref]int
	servers []serverState
	// copies holds, per unit, the servers with a copy that serves or will serve.
	copies [][]int
	// work holds, per unit and in the order of copies, the demand on each copy in
	// tokens per second.
	work [][]float64
	// groups remembers each server's evictable groups until the board changes.
	groups [][][]int
	// urgent is true while room is made for first copies, to which new copies give way.
	urgent bool
	plan   Plan
	loads  int
	quota  map[string]int
}

type serverState struct {
	Server
	// free is what isn't committed; soon is what pending unloads will free, in MiB.
	free, soon int64
	// states holds each unit's state on the server, by unit index.
	states []engine.HoldingState
	// since holds when each unit was loaded, by unit index.
	since []time.Time
	// load is the work that demand puts on the server, in tokens per second.
	load float64
	// parts holds that work by weight, the least urgent first.
	parts []part
}

func newBoard(in Input) *board {
	b := &board{in: in, index: map[modelref.Ref]int{}, loads: in.Budget.Loads, quota: map[string]int{}}
	for _, d := range in.Budget.Domains {
		b.quota[d.FailureDomain] = d.Loads
	}
	b.addUnits()
	b.addServers()
	b.forgetGroups()
	return b
}

func (b *board) addUnits() {
	for _, u := range b.in.Document.Units() {
		b.index[u.Ref] = len(b.units)
		b.units = append(b.units, unit{Unit: u, base: -1, weight: b.classWeight(u.Class)})
	}
	for i := range b.units {
		base, ok := b.index[b.units[i].Base]
		if b.units[i].Base != "" && ok {
			b.units[i].base = base
			b.units[base].adapters = append(b.units[base].adapters, i)
		}
	}
	for _, e := range b.in.Demand {
		if i, ok := b.index[e.Ref]; ok {
			b.units[i].tokens = e.Tokens
			if e.Weight > 0 {
				b.units[i].weight = e.Weight
			}
		}
	}
}

func (b *board) classWeight(class int) float64 {
	if class < 0 || class >= len(b.in.Document.Classes) {
		return 1
	}
	return b.in.Document.Classes[class].Weight
}

func (b *board) addServers() {
	b.copies = make([][]int, len(b.units))
	for i, server := range b.in.Servers {
		s := serverState{
			Server: server,
			free:   server.CapacityMB - server.CommittedMB,
			states: make([]engine.HoldingState, len(b.units)),
			since:  make([]time.Time, len(b.units)),
		}
		for _, c := range server.Copies {
			b.addCopy(&s, c)
		}
		b.servers = append(b.servers, s)
		b.countCopies(i)
	}
}

func (b *board) addCopy(s *serverState, c Copy) {
	if c.State == engine.StateUnloading {
		s.soon += c.MemoryMB
	}
	if u, ok := b.index[c.Ref]; ok {
		s.states[u], s.since[u] = c.State, c.Since
	}
}

// young reports whether a copy is too new to go for another's demand.
func (b *board) young(u, s int) bool {
	since := b.servers[s].since[u]
	return !b.urgent && !since.IsZero() && b.in.Now.Sub(since) < settleTime
}

// countCopies enters a server's copies. One of a server that can't be reached or is
// leaving doesn't count, nor does an adapter without its base.
func (b *board) countCopies(s int) {
	server := &b.servers[s]
	if !server.Reachable || server.Leaving {
		return
	}
	for u, state := range server.states {
		if state != "" && state != engine.StateUnloading && b.hasBase(u, s) {
			b.copies[u] = append(b.copies[u], s)
		}
	}
}

// resident reports whether a unit serves on a server now.
func (b *board) resident(u, s int) bool { return b.servers[s].states[u] == engine.StateResident }

// usable reports whether the server may get loads.
func (s *serverState) usable() bool { return s.Ready && !s.Leaving }

// domains counts the failure domains that hold a copy of the unit, but for the
// copy on one server; -1 leaves out none.
func (b *board) domains(u, without int) int {
	seen := map[string]bool{}
	for _, s := range b.copies[u] {
		if s != without {
			seen[b.servers[s].FailureDomain] = true
		}
	}
	return len(seen)
}

// residentElsewhere counts the serving copies on other servers that take orders.
func (b *board) residentElsewhere(u, server int) int {
	n := 0
	for _, s := range b.copies[u] {
		if s != server && b.servers[s].Ready && b.resident(u, s) {
			n++
		}
	}
	return n
}

// mayLoad reports whether the budget allows a load on the server now.
func (b *board) mayLoad(s int) bool {
	if b.loads <= 0 {
		return false
	}
	left, limited := b.quota[b.servers[s].FailureDomain]
	return !limited || left > 0
}

// baseReady reports whether an adapter's base serves on the server.
func (b *board) baseReady(u, s int) bool {
	base := b.units[u].base
	return base < 0 || b.resident(base, s)
}

// load decides on a load. Without memory or budget at this moment the copy is only
// noted, so that the rest of the plan counts on it; a later plan orders it.
func (b *board) load(u, s int, gain float64, reason string) {
	server := &b.servers[s]
	size := b.units[u].MemoryMB
	if server.free >= size && b.baseReady(u, s) && b.mayLoad(s) {
		b.plan.Moves = append(b.plan.Moves, Move{
			Action:   engine.ActionLoad,
			Server:   server.Name,
			Ref:      b.units[u].Ref,
			Base:     b.units[u].Base,
			MemoryMB: size,
			Wanted:   true,
			Reason:   reason,
			Gain:     gain,
		})
		b.spend(server.FailureDomain)
	}
	b.forgetGroups()
	server.free -= size
	server.states[u] = engine.StateLoading
	b.copies[u] = append(b.copies[u], s)
}

func (b *board) spend(domain string) {
	b.loads--
	if _, limited := b.quota[domain]; limited {
		b.quota[domain]--
	}
}

// unload decides on an unload. While an adapter on the server still needs the unit
// the unload is only noted; a later plan orders it.
func (b *board) unload(u, s int, gain float64, reason string) {
	server := &b.servers[s]
	if !b.supports(u, s) {
		b.plan.Moves = append(b.plan.Moves, Move{
			Action: engine.ActionUnload,
			Server: server.Name,
			Ref:    b.units[u].Ref,
			Wanted: true,
			Reason: reason,
			Gain:   gain,
		})
	}
	b.forgetGroups()
	server.soon += b.units[u].MemoryMB
	server.states[u] = engine.StateUnloading
	b.drop(u, s)
}

// drop takes a copy off the board, with the work on it.
func (b *board) drop(u, s int) {
	k := slices.Index(b.copies[u], s)
	if k < 0 {
		return
	}
	b.copies[u] = slices.Delete(b.copies[u], k, k+1)
	if k < len(b.work[u]) {
		b.servers[s].load -= b.work[u][k]
		b.work[u] = slices.Delete(b.work[u], k, k+1)
	}
}

func (b *board) shortfall(u int, unreachable bool, reason string) {
	b.plan.Shortfalls = append(b.plan.Shortfalls, Shortfall{
		Ref:         b.units[u].Ref,
		Unreachable: unreachable,
		Reason:      reason,
	})
}
