// Package residency decides which models and adapters are resident on which discovered
// servers, from the demand for them and the state of the servers. Plan is a pure function
// from a snapshot to the next orders; core tracks the state of each server and checks each
// order; Manager holds the lease and makes the calls.
//
// Unlike package placement, it relies on what discovered servers offer: they number the
// orders that they accept, cache weights in memory and on disk, so that replacing a model is
// cheap, and hold adapters in slots.
package residency

import (
	"fmt"
	"math"
	"sort"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// Thresholds of the plan.
const (
	// targetUtilization is the highest share of a copy's capacity that should be in use.
	targetUtilization = 0.8
	// secondCopyDemand is the demand, in copies, from which a model gets a second copy, so that
	// the loss of one server doesn't make a model in use unavailable.
	secondCopyDemand = 0.5
	// demandPerAdapterCopy is the demand, in copies, for which an adapter gets one more copy.
	demandPerAdapterCopy = 1.5
	// evictionGainFactor limits evictions from a model that has too few copies itself. It may
	// lose a copy to another model only if that model's demand per copy, counting the new copy,
	// is more than this factor times the demand on each of its own remaining copies. The limit
	// doesn't apply if requests wait for the new copy.
	evictionGainFactor = 1.6
	// minFirstCopyDemand is the least demand, in copies, that the first copy of a model counts as
	// when it competes for memory. A model without requests can thereby evict only copies of
	// models with little demand.
	minFirstCopyDemand = 0.5
	// minIdleForEviction is how long a model must have been unused before its last copy may
	// be evicted for a model with waiting requests, when there isn't memory for all models.
	minIdleForEviction = 2 * time.Second
	// minAdapterIdleForEviction is the same for adapters, which load within milliseconds.
	minAdapterIdleForEviction = 500 * time.Millisecond
	// loadsReservedForFirstCopies is the number of loads from the weight store reserved for
	// models without a copy.
	loadsReservedForFirstCopies = 1
)

// Costs of an option, in seconds, by which options are compared.
const (
	// costEvict is the cost of an unload before the load.
	costEvict = 0.4
	// costSameDomain is the cost of a server in a failure domain with a copy of the model.
	costSameDomain = 0.3
	// costNotReady is the cost of a server that doesn't accept orders now.
	costNotReady = 1.0
	// costNoLoadToken is the cost of a load that the weight store's rate doesn't allow now, if
	// the rate isn't known.
	costNoLoadToken = 3.0
	costPerRequest  = 0.03
	// costPerDisplacedDemand is the cost of the demand, in copies, on a copy that is evicted.
	costPerDisplacedDemand = 4.0
	// maxEvictionCost bounds the cost of evicting a copy of a model that has others, below the
	// cost of evicting a last copy.
	maxEvictionCost = 0.9 * costLastCopy
	// meanRemainingRunSeconds is the assumed mean remaining time of a running request.
	meanRemainingRunSeconds = 1.5
	// costLastCopy is the cost of evicting a model's only copy, high enough that any other
	// option is preferred.
	costLastCopy = 30
)

// Plan returns the moves, that is, the orders to send now, at most one for each server. Adapters
// come first, because an order for a model keeps its server from accepting others for seconds.
func Plan(s Snapshot) []Move {
	p := newPlanner(s)
	p.planAdapters()
	p.planModels()
	return p.moves
}

// plannedServer is a server with the effects of the orders planned so far.
type plannedServer struct {
	ServerView
	// freeMB is the uncommitted memory; freeingMB is what unloads in progress will free.
	freeMB, freeingMB int64
	freeSlots         int
	// freeingSlots is how many slots the orders to unload adapters will free at once, and drainingSlots how many once requests
	// have ended; both without those that this plan counts on.
	freeingSlots, drainingSlots int
}

// planner is the state of one run of Plan.
type planner struct {
	Snapshot
	models   map[modelref.Ref]Model
	adapters map[modelref.Ref]Adapter
	servers  []*plannedServer
	// activeCopies counts the copies that serve, are being loaded or were planned in this run,
	// without those chosen for eviction.
	activeCopies map[modelref.Ref]int
	// servingCopies counts the copies that serve now, without those chosen for eviction.
	servingCopies map[modelref.Ref]int
	// residentOn lists the servers on which a model is resident.
	residentOn map[modelref.Ref][]*plannedServer
	// adapterCopies counts the copies of an adapter that serve or are being loaded, on servers
	// where its base is resident.
	adapterCopies map[modelref.Ref]int
	// wantedCopies is the number of copies that each model should have.
	wantedCopies map[modelref.Ref]int
	// loadsReservedForWaiting is the number of loads from the weight store reserved for models
	// with waiting requests whose load can't be ordered yet.
	loadsReservedForWaiting int
	// loadsWaitingForToken is the number of loads from the weight store that this plan would
	// order if the store's rate allowed them now.
	loadsWaitingForToken int
	moves                []Move
}

func newPlanner(s Snapshot) *planner {
	p := &planner{
		Snapshot:      s,
		models:        make(map[modelref.Ref]Model, len(s.Models)),
		adapters:      make(map[modelref.Ref]Adapter, len(s.Adapters)),
		activeCopies:  map[modelref.Ref]int{},
		servingCopies: map[modelref.Ref]int{},
		residentOn:    map[modelref.Ref][]*plannedServer{},
		wantedCopies:  map[modelref.Ref]int{},

		adapterCopies: map[modelref.Ref]int{},
	}
	for _, m := range s.Models {
		p.models[m.Ref] = m
	}
	for _, a := range s.Adapters {
		p.adapters[a.Ref] = a
	}
	for i := range s.Servers {
		p.servers = append(p.servers, p.newPlannedServer(&s.Servers[i]))
	}
	for _, m := range s.Models {
		p.wantedCopies[m.Ref] = p.demandedCopies(m.Ref)
	}
	return p
}

func (p *planner) newPlannedServer(view *ServerView) *plannedServer {
	srv := &plannedServer{ServerView: *view, freeMB: view.MemoryMB - view.ReservedMB, freeSlots: view.AdapterSlots}
	for ref, state := range view.Models {
		size := p.models[ref].MemoryMB
		srv.freeMB -= size
		if state == engine.StateUnloading {
			srv.freeingMB += size
			continue
		}
		p.activeCopies[ref]++
		if state == engine.StateResident {
			p.servingCopies[ref]++
			p.residentOn[ref] = append(p.residentOn[ref], srv)
		}
	}
	for ref, state := range view.Adapters {
		adapter := p.adapters[ref]
		srv.freeMB -= adapter.MemoryMB
		srv.freeSlots--
		switch {
		case state != engine.StateUnloading:
		case view.InUse[ref]:
			srv.drainingSlots++
		default:
			srv.freeingSlots++
		}
		if state != engine.StateUnloading && view.Models[adapter.Base] == engine.StateResident {
			p.adapterCopies[ref]++
		}
	}
	return srv
}

// demandedCopies returns how many copies the demand for a model requires.
func (p *planner) demandedCopies(ref modelref.Ref) int {
	need := p.Needs[ref]
	n := int(math.Ceil(need.HeldLoad / targetUtilization))
	if need.HeldLoad >= secondCopyDemand {
		n = max(n, 2)
	}
	return min(max(n, 1), max(1, len(p.servers)))
}

// missingCopy is a copy that a model should have in addition to its present ones.
type missingCopy struct {
	model Model
	// firstCopy is true for the first copy of a model that has no active copy. waiting is true
	// if requests wait for the model; missingCopies sets it for a first copy only,
	// startNextLoads for any copy.
	firstCopy, waiting bool
	// demandPerCopy is the demand for each copy of the model if it had the new one.
	demandPerCopy float64
}

// planModels plans the missing copies, the most urgent first.
func (p *planner) planModels() {
	p.unloadUnconfigured()
	p.startNextLoads()
	for _, missing := range p.missingCopies() {
		p.provideCopy(missing)
	}
}

// unloadUnconfigured orders the unload of models that are no longer configured.
func (p *planner) unloadUnconfigured() {
	for _, srv := range p.servers {
		for ref, state := range srv.Models {
			if _, configured := p.models[ref]; !configured && state == engine.StateResident && srv.Ready {
				p.addMove(srv, Move{Action: engine.ActionUnload, Ref: ref, Reason: "no longer configured"})
			}
		}
	}
}

// startNextLoads loads each model on the server that freed memory for it, so that no other
// model takes the memory. Without this step, each plan would free memory again, on whichever
// server looks cheapest then.
func (p *planner) startNextLoads() {
	for _, srv := range p.servers {
		m, configured := p.models[srv.NextLoad]
		if _, has := srv.Models[srv.NextLoad]; !configured || has || p.activeCopies[m.Ref] >= p.wantedCopies[m.Ref] {
			continue
		}
		missing := missingCopy{model: m, firstCopy: p.activeCopies[m.Ref] == 0, waiting: p.Needs[m.Ref].Waiting > 0}
		o := option{server: srv}
		_, o.fromWeightStore = p.loadSeconds(m, srv)
		if srv.freeMB+srv.freeingMB >= m.MemoryMB {
			p.applyOption(missing, o)
		}
	}
}

// missingCopies returns the copies that models should have in addition, the most urgent first:
// those with waiting requests, of these the overdue ones, then first copies, then by the demand for each copy.
func (p *planner) missingCopies() []missingCopy {
	var out []missingCopy
	for _, m := range p.Models {
		need := p.Needs[m.Ref]
		existing := p.activeCopies[m.Ref]
		for n := existing; n < p.wantedCopies[m.Ref]; n++ {
			out = append(out, missingCopy{
				model: m, firstCopy: n == 0, waiting: n == 0 && need.Waiting > 0,
				demandPerCopy: need.Load / float64(n+1),
			})
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		x, y := &out[i], &out[j]
		if x.waiting != y.waiting {
			return x.waiting
		}
		if before, differ := p.overdueFirst(x.model.Ref, y.model.Ref); x.waiting && differ {
			return before
		}
		if x.firstCopy != y.firstCopy {
			return x.firstCopy
		}
		return x.demandPerCopy > y.demandPerCopy
	})
	return out
}

// provideCopy chooses the cheapest option for a missing copy and applies it.
func (p *planner) provideCopy(missing missingCopy) {
	if best, ok := p.bestOption(missing); ok {
		p.applyOption(missing, best)
	}
}

// applyOption orders the next step of an option: the unload of its victim or the load. If the
// server or the weight store doesn't allow the step now, nothing is ordered, but the rest of
// the plan still treats the memory and the copy as taken.
func (p *planner) applyOption(missing missingCopy, best option) {
	srv := best.server
	p.activeCopies[missing.model.Ref]++
	switch {
	case best.victim != "":
		p.activeCopies[best.victim]--
		p.servingCopies[best.victim]--
		srv.freeingMB += p.models[best.victim].MemoryMB
		p.addMove(srv, Move{Action: engine.ActionUnload, Ref: best.victim, For: missing.model.Ref,
			Reason: fmt.Sprintf("frees memory for %s", missing.model.Ref)})
	case srv.freeMB < missing.model.MemoryMB || !srv.Ready:
		if best.fromWeightStore && missing.waiting {
			p.loadsReservedForWaiting++
		}
	case !best.fromWeightStore || p.weightStoreLoadAllowed(missing):
		if best.fromWeightStore {
			p.WeightStoreLoads--
		}
		p.addMove(srv, Move{Action: engine.ActionLoad, Ref: missing.model.Ref, FromWeightStore: best.fromWeightStore, Reason: p.loadReason(missing)})
	default:
		p.loadsWaitingForToken++
	}
	srv.freeMB -= missing.model.MemoryMB
}

// addMove adds a move to the plan if the server accepts an order now.
func (p *planner) addMove(srv *plannedServer, m Move) {
	if !srv.Ready {
		return
	}
	srv.Ready = false
	m.Server = srv.ID
	p.moves = append(p.moves, m)
}

func (p *planner) loadReason(missing missingCopy) string {
	need := p.Needs[missing.model.Ref]
	return fmt.Sprintf("%d of %d copies, demand for %.1f copies, %d requests waiting", p.activeCopies[missing.model.Ref]-1, p.wantedCopies[missing.model.Ref], need.Load, need.Waiting)
}

// weightStoreLoadAllowed reports whether the model may be loaded from the weight store now.
func (p *planner) weightStoreLoadAllowed(missing missingCopy) bool {
	switch {
	case missing.waiting:
		return p.WeightStoreLoads > 0
	case missing.firstCopy:
		return p.WeightStoreLoads > p.loadsReservedForWaiting
	}
	return p.WeightStoreLoads > loadsReservedForFirstCopies+p.loadsReservedForWaiting
}
