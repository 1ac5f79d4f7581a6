package residency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/modelref"
	"limpethub/internal/site"
)

// TestSlotOfAnAdapterStillInUseIsNotGivenAway guards against more adapters on a server than it has slots: a server that is ordered
// to unload an adapter in use accepts the order, and unloads the adapter once its requests have ended. The holder doesn't know of these
// requests, as when the counts of other instances don't reach it.
func TestSlotOfAnAdapterStillInUseIsNotGivenAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSizedSimulation(t, rapid.Uint64().Draw(t, "seed"), simSize{cores: 1, servers: 1, models: 1, loadsPerSecond: simLoadsPerSecond})
		base := sim.document.Models[0].Ref()
		sim.document.Adapters = nil
		for _, name := range []string{"m0/a0", "m0/a1", "m0/a2"} {
			sim.document.Adapters = append(sim.document.Adapters, site.Adapter{Name: name, Version: "1", Base: base, MemoryMB: 1})
		}
		sim.run(8 * time.Second)
		for n := range simSlots {
			sim.requestCounts = map[modelref.Ref]RequestCounts{sim.document.Adapters[n].Ref(): {Waiting: 1}}
			sim.run(time.Second)
		}
		server := sim.servers["s0"]
		runsUntil := sim.now.Add(time.Duration(rapid.IntRange(20, 60).Draw(t, "run")) * 100 * time.Millisecond)
		for ref := range server.adapters {
			server.inUseUntil[ref] = runsUntil
		}
		last := sim.document.Adapters[simSlots].Ref()
		sim.requestCounts = map[modelref.Ref]RequestCounts{last: {Waiting: 1}}
		sim.run(runsUntil.Sub(sim.now))
		if server.adapters[last] {
			t.Fatalf("%s is on the server, whose slots are all in use", last)
		}
		sim.run(2 * time.Second)
		if !server.adapters[last] {
			t.Fatalf("%s isn't on the server 2 s after a slot has become free", last)
		}
	})
}

// TestAdapterBeingUnloadedIsNotUsableAgainWhileItsRequestsLast guards against an adapter that its server unloads once its requests have
// ended, and that instances are told is usable again in the meantime: they would send it requests until it is gone.
func TestAdapterBeingUnloadedIsNotUsableAgainWhileItsRequestsLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSizedSimulation(t, rapid.Uint64().Draw(t, "seed"), simSize{cores: 1, servers: 1, models: 1, loadsPerSecond: simLoadsPerSecond})
		base := sim.document.Models[0].Ref()
		sim.document.Adapters = nil
		for _, name := range []string{"m0/a0", "m0/a1", "m0/a2"} {
			sim.document.Adapters = append(sim.document.Adapters, site.Adapter{Name: name, Version: "1", Base: base, MemoryMB: 1})
		}
		sim.run(8 * time.Second)
		for n := range simSlots {
			sim.requestCounts = map[modelref.Ref]RequestCounts{sim.document.Adapters[n].Ref(): {Waiting: 1}}
			sim.run(time.Second)
		}
		server := sim.servers["s0"]
		// The longest streams last longer than an order may take to arrive.
		end := sim.now.Add(3 * lateOrderWindow)
		for ref := range server.adapters {
			server.inUseUntil[ref] = end
		}
		sim.requestCounts = map[modelref.Ref]RequestCounts{sim.document.Adapters[simSlots].Ref(): {Waiting: 1}}
		for sim.now.Before(end.Add(-time.Second)) {
			sim.step()
			for ref := range server.unloading {
				// The caller that waited has left.
				sim.requestCounts = nil
				if sim.cores[0].servers["s0"].isResident(ref) && sim.now.After(end.Add(-2*lateOrderWindow)) {
					t.Fatalf("%v before its requests end, %s counts as usable though the server unloads it", end.Sub(sim.now), ref)
				}
			}
		}
	})
}
