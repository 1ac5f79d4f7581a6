package residency

import (
	"math"
	"slices"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// option is one way to give a model another copy on a server.
type option struct {
	server *plannedServer
	// victim is the model to unload first; empty if there is enough memory.
	victim          modelref.Ref
	fromWeightStore bool
	cost            float64
}

func (p *planner) bestOption(missing missingCopy) (best option, ok bool) {
	domains := p.domainsOf(missing.model.Ref)
	for _, srv := range p.servers {
		if _, has := srv.Models[missing.model.Ref]; has {
			continue
		}
		limit := math.Inf(1)
		if ok {
			limit = best.cost
		}
		if o, cheaper := p.optionOn(missing, srv, domains, limit); cheaper {
			best, ok = o, true
		}
	}
	return best, ok
}

// optionOn computes the option on one server, and reports whether it costs less than limit.
// domains are the failure domains in which the model already has a copy.
func (p *planner) optionOn(missing missingCopy, srv *plannedServer, domains map[string]bool, limit float64) (option, bool) {
	o := option{server: srv}
	o.cost, o.fromWeightStore = p.loadSeconds(missing.model, srv)
	if o.fromWeightStore && !p.weightStoreLoadAllowed(missing) {
		o.cost += p.loadTokenWaitSeconds()
	}
	if !srv.Ready {
		o.cost += costNotReady
	}
	o.cost += costPerRequest * float64(srv.Requests)
	if domains[srv.FailureDomain] {
		o.cost += costSameDomain
	}
	if srv.freeMB+srv.freeingMB >= missing.model.MemoryMB || o.cost >= limit {
		return o, o.cost < limit
	}
	victim, evictionCost, ok := p.chooseVictim(missing, srv)
	o.victim = victim
	o.cost += costEvict + evictionCost + p.unloadWaitSeconds(srv, victim)
	return o, ok && o.cost < limit
}

// loadTokenWaitSeconds estimates how long a load from the weight store waits for the store's rate,
// behind the loads that this plan already has waiting for it.
func (p *planner) loadTokenWaitSeconds() float64 {
	if p.WeightStoreLoadPeriod <= 0 {
		return costNoLoadToken
	}
	return float64(1+p.loadsWaitingForToken) * p.WeightStoreLoadPeriod.Seconds()
}

// unloadWaitSeconds estimates how long an unload waits for the requests running on the
// model. It assumes that the server's requests divide among its models by demand, and that the
// last of n requests that end at random times ends after about ln(n+1) times their mean
// remaining time.
func (p *planner) unloadWaitSeconds(srv *plannedServer, victim modelref.Ref) float64 {
	var totalDemand, victimDemand float64
	for ref := range srv.Models {
		demand := p.Needs[ref].Load / float64(max(1, p.activeCopies[ref]))
		totalDemand += demand
		if ref == victim {
			victimDemand = demand
		}
	}
	if victimDemand == 0 {
		return 0
	}
	return meanRemainingRunSeconds * math.Log1p(float64(srv.Requests)*victimDemand/totalDemand)
}

// loadSeconds returns how long the server takes to load the model.
func (p *planner) loadSeconds(m Model, srv *plannedServer) (seconds float64, fromWeightStore bool) {
	switch {
	case srv.InMemory[m.Ref]:
		return m.MemoryLoadTime.Seconds(), false
	case srv.OnDisk[m.Ref]:
		return m.DiskLoadTime.Seconds(), false
	}
	return m.WeightStoreLoadTime.Seconds(), true
}

// domainsOf returns the failure domains in which the model has a copy that isn't being unloaded.
func (p *planner) domainsOf(ref modelref.Ref) map[string]bool {
	out := map[string]bool{}
	for _, srv := range p.servers {
		if state, has := srv.Models[ref]; has && state != engine.StateUnloading {
			out[srv.FailureDomain] = true
		}
	}
	return out
}

// chooseVictim returns the resident model on a server whose eviction frees enough memory for
// the missing copy and costs least. evictionCost says which models may be evicted.
func (p *planner) chooseVictim(missing missingCopy, srv *plannedServer) (victim modelref.Ref, cost float64, ok bool) {
	for _, ref := range sortedRefs(srv.Models) {
		if srv.Models[ref] != engine.StateResident || srv.freeMB+srv.freeingMB+p.models[ref].MemoryMB < missing.model.MemoryMB {
			continue
		}
		evictable, candidateCost := p.evictionCost(missing, ref)
		if evictable && (!ok || candidateCost < cost) {
			victim, cost, ok = ref, candidateCost, true
		}
	}
	return victim, cost, ok
}

// evictionCost reports whether a copy of ref may be evicted for the missing copy, and the cost.
//
// A model with other copies, of which at least one serves, may lose one if it has more than its
// demand requires, if requests wait for the missing copy, or by evictionGainFactor. The cost in
// seconds is then the demand for each remaining copy (HeldLoad, which is in copies, divided by
// their number), plus the demand that the evicted copy serves now times costPerDisplacedDemand.
// Without the second part, the loss of a server under overload lets the busiest model lose the
// copies that it needs most, if their servers happen to accept orders first. Any other model may
// lose a copy, even its last one, only if requests wait for the missing copy and the model has been
// idle for minIdleForEviction, or less if the missing copy is overdue; see minIdleFor. The longer it has been idle, the lower
// that cost, and the more of its demand is displaced, the higher.
func (p *planner) evictionCost(missing missingCopy, ref modelref.Ref) (evictable bool, cost float64) {
	demandPerCopy := missing.demandPerCopy
	if missing.firstCopy {
		demandPerCopy = max(demandPerCopy, minFirstCopyDemand)
	}
	need := p.Needs[ref]
	remaining := p.activeCopies[ref] - 1
	if remaining >= 1 && p.servingCopies[ref] > 1 {
		remainingDemand := need.HeldLoad / float64(remaining)
		if remaining >= p.wantedCopies[ref] || missing.waiting || remainingDemand*evictionGainFactor < demandPerCopy {
			displaced := need.Load / float64(p.activeCopies[ref])
			return true, min(remainingDemand+costPerDisplacedDemand*displaced, maxEvictionCost)
		}
	}
	idle := need.Waiting == 0 && p.Now.Sub(need.LastUsed) >= p.minIdleFor(missing.model.Ref, minIdleForEviction)
	if missing.waiting && idle {
		return true, costLastCopy + 1/(1+p.Now.Sub(need.LastUsed).Seconds()) + costPerDisplacedDemand*need.Load
	}
	return false, 0
}

func sortedRefs(m map[modelref.Ref]engine.HoldingState) []modelref.Ref {
	out := make([]modelref.Ref, 0, len(m))
	for ref := range m {
		out = append(out, ref)
	}
	slices.Sort(out)
	return out
}
