package residency

import (
	"slices"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

func (c *core) snapshot(now time.Time, pool site.Pool) Snapshot {
	s := Snapshot{Now: now, Needs: c.tracker.Needs(), StoreLoads: int(c.loads[pool.Service])}
	for _, m := range c.document.Models {
		if m.Service == pool.Service {
			s.Models = append(s.Models, Model{Ref: m.Ref(), MemoryMB: m.MemoryMB,
				Load: millis(m.LoadMillis), Disk: millis(m.DiskMillis), Warm: millis(m.WarmMillis)})
		}
	}
	for _, a := range c.document.Adapters {
		if base, ok := c.models[a.Base]; ok && base.Service == pool.Service {
			s.Adapters = append(s.Adapters, Adapter{Ref: a.Ref(), Base: a.Base, MemoryMB: a.MemoryMB})
		}
	}
	for _, id := range c.sortedAccounts() {
		if a := c.accounts[id]; a.server.Service == pool.Service && !a.server.Leaving && a.failures < lostAfter {
			s.Servers = append(s.Servers, c.view(now, pool, a))
		}
	}
	return s
}

func (c *core) sortedAccounts() []string {
	out := make([]string, 0, len(c.accounts))
	for id := range c.accounts {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (c *core) view(now time.Time, pool site.Pool, a *account) ServerView {
	_, noticed := c.notices[a.server.ID]
	view := ServerView{
		ID: a.server.ID, FailureDomain: a.server.FailureDomain,
		Ready:    a.ready() && !noticed,
		MemoryMB: pool.MemoryMB, ReservedMB: a.reserved(now, c.sizeOf),
		AdapterSlots: pool.AdapterSlots,
		Models:       a.models, Adapters: a.adapters,
		InMemory: a.inMemory, OnDisk: a.onDisk,
		Requests: c.requests[a.server.ID],
	}
	if now.Before(a.goalUntil) {
		view.Goal = a.goal
	}
	if !a.known {
		// Until the server's own account was read, its announcement tells what it holds.
		view.Models = c.announced(a.server.Resident)
	}
	if noticed {
		view.Models = withState(view.Models, c.notices[a.server.ID].move.Ref, engine.StateUnloading)
	}
	return view
}

// announced picks the models out of what a server announced.
func (c *core) announced(refs []modelref.Ref) map[modelref.Ref]engine.HoldingState {
	out := map[modelref.Ref]engine.HoldingState{}
	for _, ref := range refs {
		if _, model := c.models[ref]; model {
			out[ref] = engine.StateResident
		}
	}
	return out
}

func withState(models map[modelref.Ref]engine.HoldingState, ref modelref.Ref, state engine.HoldingState) map[modelref.Ref]engine.HoldingState {
	if _, model := models[ref]; !model {
		return models
	}
	out := make(map[modelref.Ref]engine.HoldingState, len(models))
	for r, s := range models {
		out[r] = s
	}
	out[ref] = state
	return out
}

func (c *core) sizeOf(ref modelref.Ref) int64 {
	if m, ok := c.models[ref]; ok {
		return m.MemoryMB
	}
	return c.adapters[ref].MemoryMB
}
