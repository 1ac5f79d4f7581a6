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
// adapters share few slots, those with waiting requests come first and replace unused ones. Overdue ones go before all others.
func (p *planner) planAdapters() {
	inUse := p.adaptersInUse()
	sort.SliceStable(inUse, func(i, j int) bool {
		if before, differ := p.overdueFirst(inUse[i].Ref, inUse[j].Ref); differ {
			return before
		}
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
// several have equally many, the fewest requests. If no server has space or frees some, and requests
// wait for the adapter, it orders the unload of another adapter instead; see adapterEviction.
func (p *planner) provideAdapter(a Adapter) {
	need := p.Needs[a.Ref]
	if srv := p.serverWithSpace(a); srv != nil {
		srv.freeSlots--
		srv.freeMB -= a.MemoryMB
		p.addMove(srv, Move{Action: engine.ActionLoad, Ref: a.Ref,
			Reason: fmt.Sprintf("adapter without a copy, demand for %.1f copies, %d requests waiting", need.Load, need.Waiting)})
		return
	}
	if need.Waiting == 0 || p.countOnSlot(a, func(srv *plannedServer) *int { return &srv.freeingSlots }) {
		return
	}
	srv, victim := p.adapterEviction(a)
	if srv == nil {
		return
	}
	inUse := p.Now.Sub(p.Needs[victim].LastUsed) < idleNow
	if inUse && p.countOnSlot(a, func(srv *plannedServer) *int { return &srv.drainingSlots }) {
		return
	}
	p.addMove(srv, Move{Action: engine.ActionUnload, Ref: victim, Reason: fmt.Sprintf("frees a slot for %s", a.Ref)})
}

// serverWithSpace returns the server that provideAdapter loads an adapter on; nil if none has space.
func (p *planner) serverWithSpace(a Adapter) *plannedServer {
	var best *plannedServer
	for _, srv := range p.residentOn[a.Base] {
		if !canLoadAdapter(a, srv) || srv.freeSlots <= 0 || srv.freeMB < a.MemoryMB {
			continue
		}
		if best == nil || srv.freeSlots > best.freeSlots || (srv.freeSlots == best.freeSlots && srv.Requests < best.Requests) {
			best = srv
		}
	}
	return best
}

// countOnSlot reports whether a server is about to free a slot that the adapter can have, and takes it off the count.
func (p *planner) countOnSlot(a Adapter, count func(*plannedServer) *int) bool {
	for _, srv := range p.residentOn[a.Base] {
		if _, has := srv.Adapters[a.Ref]; !has && *count(srv) > 0 {
			*count(srv)--
			return true
		}
	}
	return false
}

// adapterEviction returns the adapter to unload for another one, and its server: of all servers that could load the other one
// then, the adapter that was unused for longest. The server is nil if there is none.
func (p *planner) adapterEviction(a Adapter) (best *plannedServer, victim modelref.Ref) {
	for _, srv := range p.residentOn[a.Base] {
		if !canLoadAdapter(a, srv) {
			continue
		}
		candidate, ok := p.adapterVictim(a, srv)
		if ok && (best == nil || p.Needs[candidate].LastUsed.Before(p.Needs[victim].LastUsed)) {
			best, victim = srv, candidate
		}
	}
	return best, victim
}

// canLoadAdapter reports whether a server that holds the base accepts orders and doesn't have
// the adapter yet. It doesn't check the server's slots and memory.
func canLoadAdapter(a Adapter, srv *plannedServer) bool {
	_, has := srv.Adapters[a.Ref]
	return srv.Ready && !has
}

// idlerThan reports whether a version was used less lately than another, or if both are in use, is used less.
func idlerThan(x, y Need) bool {
	if x.LastUsed.Equal(y.LastUsed) {
		return x.Load < y.Load
	}
	return x.LastUsed.Before(y.LastUsed)
}

// adapterVictim returns the adapter to unload from a server for another one: of the resident adapters without
// waiting requests that make enough space and have been idle for long enough, the one idle for longest.
// ok is false if there is none.
func (p *planner) adapterVictim(a Adapter, srv *plannedServer) (victim modelref.Ref, ok bool) {
	minIdle := p.minIdleFor(a.Ref, minAdapterIdleForEviction)
	for _, ref := range sortedRefs(srv.Adapters) {
		need := p.Needs[ref]
		if srv.Adapters[ref] != engine.StateResident || need.Waiting > 0 || p.Now.Sub(need.LastUsed) < minIdle {
			continue
		}
		if srv.freeSlots < 0 || srv.freeMB+p.adapters[ref].MemoryMB < a.MemoryMB {
			continue
		}
		if !ok || idlerThan(need, p.Needs[victim]) {
			victim, ok = ref, true
		}
	}
	return victim, ok
}
