package placement

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// unit is a configured model or adapter version with its demand. Copies are placed per unit.
type unit struct {
	site.Unit
	// baseIndex is the index of an adapter's base model, or -1 for a model.
	baseIndex int
	// adapterIndexes holds the indexes of the adapters that extend the unit.
	adapterIndexes []int
	// tokensPerSecond is the demand for the unit, without that for its adapters.
	tokensPerSecond float64
	// tokenWeight is the value of one token of the unit.
	tokenWeight float64
}

// planBuilder is the working state of one plan. It holds the copies and demand of each
// unit and server, and is updated with each move that the plan decides on.
type planBuilder struct {
	input     Input
	units     []unit
	unitIndex map[modelref.Ref]int
	servers   []serverState
	// copies holds, per unit, the servers with a copy that is or will be usable.
	copies [][]int
	// copyDemand holds, per unit and in the order of copies, the demand assigned to each
	// copy in tokens per second.
	copyDemand [][]float64
	// evictionGroups caches groupsOn per server; nil means that it must be recomputed.
	evictionGroups [][][]int
	// placingFirstCopies is true while first copies are placed. Copies of any age may be
	// evicted for those.
	placingFirstCopies bool
	plan               Plan
	loadBudget         int
	domainLoadBudget   map[string]int
}

// serverState is a Server with the moves of the plan applied.
type serverState struct {
	Server
	// freeMB is the memory that isn't committed; it is negative if planned copies wait for
	// pending unloads. unloadingMB is the memory that pending unloads will release.
	freeMB, unloadingMB int64
	// states holds each unit's state on the server, by unit index.
	states []engine.HoldingState
	// loadedAt holds the time each unit was loaded, by unit index; zero if unknown.
	loadedAt []time.Time
	// demand is the demand assigned to the server, in tokens per second.
	demand float64
	// demandByWeight holds the same demand per unit, in ascending order of token weight.
	demandByWeight []weightedDemand
}

func newPlanBuilder(in Input) *planBuilder {
	b := &planBuilder{input: in, unitIndex: map[modelref.Ref]int{}, loadBudget: in.Budget.Loads, domainLoadBudget: map[string]int{}}
	for _, d := range in.Budget.Domains {
		b.domainLoadBudget[d.FailureDomain] = d.Loads
	}
	b.addUnits()
	b.addServers()
	b.invalidateEvictionGroups()
	return b
}

func (b *planBuilder) addUnits() {
	for _, u := range b.input.Document.Units() {
		b.unitIndex[u.Ref] = len(b.units)
		b.units = append(b.units, unit{Unit: u, baseIndex: -1, tokenWeight: b.classWeight(u.Class)})
	}
	for i := range b.units {
		base, ok := b.unitIndex[b.units[i].Base]
		if b.units[i].Base != "" && ok {
			b.units[i].baseIndex = base
			b.units[base].adapterIndexes = append(b.units[base].adapterIndexes, i)
		}
	}
	for _, e := range b.input.Demand {
		if i, ok := b.unitIndex[e.Ref]; ok {
			b.units[i].tokensPerSecond = e.Tokens
			if e.Weight > 0 {
				b.units[i].tokenWeight = e.Weight
			}
		}
	}
}

func (b *planBuilder) classWeight(class int) float64 {
	if class < 0 || class >= len(b.input.Document.Classes) {
		return 1
	}
	return b.input.Document.Classes[class].Weight
}

func (b *planBuilder) addServers() {
	b.copies = make([][]int, len(b.units))
	for i, server := range b.input.Servers {
		s := serverState{
			Server:   server,
			freeMB:   server.CapacityMB - server.CommittedMB,
			states:   make([]engine.HoldingState, len(b.units)),
			loadedAt: make([]time.Time, len(b.units)),
		}
		for _, c := range server.Copies {
			b.setCopyState(&s, c)
		}
		b.servers = append(b.servers, s)
		b.indexCopies(i)
	}
}

// setCopyState enters a copy in a server's state. indexCopies adds it to b.copies.
func (b *planBuilder) setCopyState(s *serverState, c Copy) {
	if c.State == engine.StateUnloading {
		s.unloadingMB += c.MemoryMB
	}
	if u, ok := b.unitIndex[c.Ref]; ok {
		s.states[u], s.loadedAt[u] = c.State, c.LoadedAt
	}
}

// tooNewToEvict reports whether a copy is too new to be evicted for another unit's demand.
// No copy is too new to make room for a first copy.
func (b *planBuilder) tooNewToEvict(u, s int) bool {
	loadedAt := b.servers[s].loadedAt[u]
	return !b.placingFirstCopies && !loadedAt.IsZero() && b.input.Now.Sub(loadedAt) < minCopyAge
}

// indexCopies adds a server's copies to b.copies. Copies on an unreachable or leaving
// server aren't counted, nor are adapters whose base isn't there.
func (b *planBuilder) indexCopies(s int) {
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

// resident reports whether a unit is loaded on a server now.
func (b *planBuilder) resident(u, s int) bool { return b.servers[s].states[u] == engine.StateResident }

// acceptsLoads reports whether the server may be given loads.
func (s *serverState) acceptsLoads() bool { return s.Ready && !s.Leaving }

// countDomains counts the failure domains that hold a copy of the unit, leaving out
// the copy on excludedServer; -1 leaves out none.
func (b *planBuilder) countDomains(u, excludedServer int) int {
	domains := map[string]bool{}
	for _, s := range b.copies[u] {
		if s != excludedServer {
			domains[b.servers[s].FailureDomain] = true
		}
	}
	return len(domains)
}

// residentElsewhere counts the unit's resident copies on other servers that are ready.
func (b *planBuilder) residentElsewhere(u, server int) int {
	n := 0
	for _, s := range b.copies[u] {
		if s != server && b.servers[s].Ready && b.resident(u, s) {
			n++
		}
	}
	return n
}

// withinLoadBudget reports whether the budget allows a load on the server now.
func (b *planBuilder) withinLoadBudget(s int) bool {
	if b.loadBudget <= 0 {
		return false
	}
	remaining, limited := b.domainLoadBudget[b.servers[s].FailureDomain]
	return !limited || remaining > 0
}

// baseResident reports whether an adapter's base is resident on the server; true for a model.
func (b *planBuilder) baseResident(u, s int) bool {
	base := b.units[u].baseIndex
	return base < 0 || b.resident(base, s)
}

// planLoad enters a copy in the working state, so that the rest of the plan counts on it.
// It adds the load to the plan only if memory, the budget and an adapter's base are
// available now; otherwise a later plan orders it.
func (b *planBuilder) planLoad(u, s int, gain float64, reason string) {
	server := &b.servers[s]
	sizeMB := b.units[u].MemoryMB
	if server.freeMB >= sizeMB && b.baseResident(u, s) && b.withinLoadBudget(s) {
		b.plan.Moves = append(b.plan.Moves, Move{
			Action:   engine.ActionLoad,
			Server:   server.Name,
			Ref:      b.units[u].Ref,
			Base:     b.units[u].Base,
			MemoryMB: sizeMB,
			Wanted:   true,
			Reason:   reason,
			Gain:     gain,
		})
		b.spendLoadBudget(server.FailureDomain)
	}
	b.invalidateEvictionGroups()
	server.freeMB -= sizeMB
	server.states[u] = engine.StateLoading
	b.copies[u] = append(b.copies[u], s)
}

func (b *planBuilder) spendLoadBudget(domain string) {
	b.loadBudget--
	if _, limited := b.domainLoadBudget[domain]; limited {
		b.domainLoadBudget[domain]--
	}
}

// planUnload marks a copy as unloading in the working state. It adds the unload to the plan
// unless an adapter on the server still depends on the unit; a later plan then orders it.
func (b *planBuilder) planUnload(u, s int, gain float64, reason string) {
	server := &b.servers[s]
	if !b.hasDependents(u, s) {
		b.plan.Moves = append(b.plan.Moves, Move{
			Action: engine.ActionUnload,
			Server: server.Name,
			Ref:    b.units[u].Ref,
			Wanted: true,
			Reason: reason,
			Gain:   gain,
		})
	}
	b.invalidateEvictionGroups()
	server.unloadingMB += b.units[u].MemoryMB
	server.states[u] = engine.StateUnloading
	b.removeCopy(u, s)
}

// removeCopy removes a copy and the demand assigned to it from the working state.
func (b *planBuilder) removeCopy(u, s int) {
	k := slices.Index(b.copies[u], s)
	if k < 0 {
		return
	}
	b.copies[u] = slices.Delete(b.copies[u], k, k+1)
	if k < len(b.copyDemand[u]) {
		b.servers[s].demand -= b.copyDemand[u][k]
		b.copyDemand[u] = slices.Delete(b.copyDemand[u], k, k+1)
	}
}

func (b *planBuilder) addShortfall(u int, unreachable bool, reason string) {
	b.plan.Shortfalls = append(b.plan.Shortfalls, Shortfall{
		Ref:         b.units[u].Ref,
		Unreachable: unreachable,
		Reason:      reason,
	})
}
