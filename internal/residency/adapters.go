package residency

import (
	"fmt"
	"sort"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// adapterDemandRetention is how long after its last request an adapter still gets a copy
// although no request waits for it. An adapter loads within milliseconds, so loading it
// ahead of demand isn't necessary.
const adapterDemandRetention = 10 * time.Second

// planAdapters gives each adapter in use a copy on a server that holds its base. Since many
// adapters share few slots, those with waiting requests come first and replace unused ones.
func (p *planner) planAdapters() {
	inUse := p.adaptersInUse()
	sort.SliceStable(inUse, func(i, j int) bool {
		x, y := p.Needs[inUse[i].Ref], p.Needs[inUse[j].Ref]
		if x.Waiting != y.Waiting {
			return x.Waiting > y.Waiting
		}
		return x.HeldLoad > y.HeldLoad
	})
	for _, a := range inUse {
		if p.adapterCopies[a.Ref] < p.wantedAdapterCopies(a) {
			p.provideAdapter(a)
		}
	}
}

// adaptersInUse returns the adapters with a recent request.
func (p *planner) adaptersInUse() []Adapter {
	var out []Adapter
	for _, a := range p.Adapters {
		need := p.Needs[a.Ref]
		if !need.LastUsed.IsZero() && p.Now.Sub(need.LastUsed) <= adapterDemandRetention {
			out = append(out, a)
		}
	}
	return out
}

func (p *planner) wantedAdapterCopies(a Adapter) int {
	return 1 + int(p.Needs[a.Ref].HeldLoad/demandPerAdapterCopy)
}

// provideAdapter orders the load of an adapter on the server with the most free slots and, if
// several have equally many, the fewest requests. If that server has no space and requests
// wait for the adapter, it orders the unload of an unused adapter there instead.
func (p *planner) provideAdapter(a Adapter) {
	var best *plannedServer
	for _, srv := range p.residentOn[a.Base] {
		if !canLoadAdapter(a, srv) {
			continue
		}
		if best == nil || srv.freeSlots > best.freeSlots || (srv.freeSlots == best.freeSlots && srv.Requests < best.Requests) {
			best = srv
		}
	}
	if best == nil {
		return
	}
	need := p.Needs[a.Ref]
	if best.freeSlots > 0 && best.freeMB >= a.MemoryMB {
		best.freeSlots--
		best.freeMB -= a.MemoryMB
		p.addMove(best, Move{Action: engine.ActionLoad, Ref: a.Ref,
			Reason: fmt.Sprintf("adapter without a copy, demand for %.1f copies, %d requests waiting", need.Load, need.Waiting)})
		return
	}
	if need.Waiting == 0 {
		return
	}
	if victim, ok := p.adapterVictim(best); ok {
		p.addMove(best, Move{Action: engine.ActionUnload, Ref: victim, Reason: fmt.Sprintf("frees a slot for %s", a.Ref)})
	}
}

// canLoadAdapter reports whether a server that holds the base accepts orders and doesn't have
// the adapter yet. It doesn't check the server's slots and memory.
func canLoadAdapter(a Adapter, srv *plannedServer) bool {
	_, has := srv.Adapters[a.Ref]
	return srv.Ready && !has
}

// adapterVictim returns the adapter to unload from a server: of the resident adapters without
// waiting requests that have been idle for minAdapterIdleForEviction, the one idle for longest.
// ok is false if there is none.
func (p *planner) adapterVictim(srv *plannedServer) (victim modelref.Ref, ok bool) {
	for _, ref := range sortedRefs(srv.Adapters) {
		need := p.Needs[ref]
		if srv.Adapters[ref] != engine.StateResident || need.Waiting > 0 || p.Now.Sub(need.LastUsed) < minAdapterIdleForEviction {
			continue
		}
		if !ok || need.LastUsed.Before(p.Needs[victim].LastUsed) {
			victim, ok = ref, true
		}
	}
	return victim, ok
}
