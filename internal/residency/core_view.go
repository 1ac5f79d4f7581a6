package residency

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

func (c *core) snapshot(now time.Time, pool site.Pool) Snapshot {
	s := Snapshot{Now: now, Needs: c.needTracker.Needs(), WeightStoreLoads: c.weightLoads[pool.Service].allowed(now)}
	if rate := weightStoreRateShare * pool.LoadsPerSecond; rate > 0 {
		s.WeightStoreLoadPeriod = time.Duration(float64(time.Second) / rate)
	}
	for _, m := range c.document.Models {
		if m.Service == pool.Service {
			s.Models = append(s.Models, Model{Ref: m.Ref(), MemoryMB: m.MemoryMB,
				WeightStoreLoadTime: millis(m.LoadMillis), DiskLoadTime: millis(m.DiskMillis), MemoryLoadTime: millis(m.WarmMillis)})
		}
	}
	for _, adapter := range c.document.Adapters {
		if base, ok := c.models[adapter.Base]; ok && base.Service == pool.Service {
			s.Adapters = append(s.Adapters, Adapter{Ref: adapter.Ref(), Base: adapter.Base, MemoryMB: adapter.MemoryMB})
		}
	}
	for _, id := range c.sortedServerIDs() {
		if srv := c.servers[id]; srv.server.Service == pool.Service && !srv.server.Leaving && srv.readFailures < lostAfterFailures {
			s.Servers = append(s.Servers, c.serverView(now, pool, srv))
		}
	}
	return s
}

func (c *core) sortedServerIDs() []string {
	out := make([]string, 0, len(c.servers))
	for id := range c.servers {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (c *core) serverView(now time.Time, pool site.Pool, srv *trackedServer) ServerView {
	_, unloadPending := c.pendingUnloads[srv.server.ID]
	reserved := c.reservedOn(now, srv)
	view := ServerView{
		ID: srv.server.ID, FailureDomain: srv.server.FailureDomain,
		Ready:    srv.acceptsOrders(now) && !unloadPending,
		MemoryMB: pool.MemoryMB, ReservedMB: reserved.memoryMB,
		AdapterSlots: pool.AdapterSlots - reserved.slots,
		Models:       srv.models, Adapters: srv.adapters,
		InMemory: srv.inMemory, OnDisk: srv.onDisk,
		Requests: c.requestsByServer[srv.server.ID],
	}
	if len(srv.unloading) > 0 {
		view.InUse = map[modelref.Ref]bool{}
	}
	for ref := range srv.unloading {
		view.InUse[ref] = true
	}
	if now.Before(srv.nextLoadUntil) {
		view.NextLoad = srv.nextLoad
	}
	if !srv.stateKnown {
		// While the server's state isn't known, as before the first state read and after an
		// order without an answer, its announcement tells what is resident.
		view.Models = c.announcedModels(srv.server.Resident)
	}
	if unloadPending {
		view.Models = withState(view.Models, c.pendingUnloads[srv.server.ID].move.Ref, engine.StateUnloading)
	}
	return view
}

// usableCopies returns up to most copies of a version that requests may use: resident ones of which nobody was told otherwise, on
// servers that aren't leaving.
func (c *core) usableCopies(ref modelref.Ref, most int) []ResidencyChange {
	if !c.holdsLease {
		return nil
	}
	var out []ResidencyChange
	for _, srv := range c.servers {
		if len(out) >= most {
			break
		}
		if srv.server.Leaving || srv.toldGone[ref] || !srv.isResident(ref) {
			continue
		}
		out = append(out, ResidencyChange{Server: srv.server.ID, StartMillis: srv.server.StartMillis, Ref: ref, Present: true, Term: c.lease.Term()})
	}
	return out
}

// reservedOn returns what late orders may still take on a server.
func (c *core) reservedOn(now time.Time, srv *trackedServer) reservation {
	return srv.reserved(now, c.sizeMB, func(ref modelref.Ref) bool {
		_, isAdapter := c.adapters[ref]
		return isAdapter
	})
}

// announcedModels returns the models among the versions that a server announced.
func (c *core) announcedModels(refs []modelref.Ref) map[modelref.Ref]engine.HoldingState {
	out := map[modelref.Ref]engine.HoldingState{}
	for _, ref := range refs {
		if _, isModel := c.models[ref]; isModel {
			out[ref] = engine.StateResident
		}
	}
	return out
}

// withState returns models with the state of ref replaced. It doesn't change its argument and
// doesn't add ref: a model that is no longer on the server needs no state.
func withState(models map[modelref.Ref]engine.HoldingState, ref modelref.Ref, state engine.HoldingState) map[modelref.Ref]engine.HoldingState {
	if _, found := models[ref]; !found {
		return models
	}
	out := make(map[modelref.Ref]engine.HoldingState, len(models))
	for r, s := range models {
		out[r] = s
	}
	out[ref] = state
	return out
}

func (c *core) sizeMB(ref modelref.Ref) int64 {
	if m, ok := c.models[ref]; ok {
		return m.MemoryMB
	}
	return c.adapters[ref].MemoryMB
}
