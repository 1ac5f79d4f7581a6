package residency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethub/internal/modelref"
)

// TestUsableCopiesAreThoseThatRequestsMayUse checks that the holder names a version's copies, and none that is about to go.
func TestUsableCopiesAreThoseThatRequestsMayUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 2)
		adapter := sim.document.Adapters[0].Ref()
		sim.run(15 * time.Second)
		sim.requestCounts = map[modelref.Ref]RequestCounts{adapter: {Waiting: 1}}
		sim.run(time.Second)
		holders := 0
		for _, c := range sim.cores {
			copies := c.usableCopies(adapter, 2)
			if !c.holdsLease {
				if len(copies) > 0 {
					t.Fatal("an instance that doesn't hold the lease names copies")
				}
				continue
			}
			holders++
			if len(copies) != 1 || !sim.servers[copies[0].Server].adapters[adapter] || copies[0].Term != c.lease.Term() {
				t.Fatalf("copies of %s: %+v, want the one that was loaded", adapter, copies)
			}
			c.recordChange(c.servers[copies[0].Server], adapter, false)
			if copies = c.usableCopies(adapter, 2); len(copies) > 0 {
				t.Fatalf("copies of %s once all were told that it goes: %+v", adapter, copies)
			}
		}
		if holders != 1 {
			t.Fatalf("%d holders, want 1", holders)
		}
	})
}
