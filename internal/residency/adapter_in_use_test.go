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
