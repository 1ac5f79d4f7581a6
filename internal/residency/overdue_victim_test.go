package residency

import (
	"testing"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// TestOverdueModelSparesTheBusiestModel guards against the last copy of the busiest model being chosen, by its name, to make room for
// an overdue one, while others in use have a hundredth of its load.
func TestOverdueModelSparesTheBusiestModel(t *testing.T) {
	f := newPlanFixture(4)
	f.addServer(0, 1, 2)
	f.setNeed(0, 0.9, 0)
	f.setNeed(1, 0.01, 0)
	f.setNeed(2, 0.01, 0)
	f.snapshot.Needs[model(3)] = Need{Load: 0.05, HeldLoad: 0.05, Waiting: 1, LastUsed: f.snapshot.Now, UnservedSince: f.snapshot.Now.Add(-busyVictimAfter)}
	if got := f.plan(); got != "[s0 unload m01@1]" && got != "[s0 unload m02@1]" {
		t.Errorf("planned %s, want an unload of m01 or m02, not of the busiest", got)
	}
}

// TestOverdueAdapterSparesTheBusiestAdapter is the same for slots.
func TestOverdueAdapterSparesTheBusiestAdapter(t *testing.T) {
	f := newPlanFixture(1)
	srv := f.addServer(0)
	for _, ref := range []modelref.Ref{"m00/a0@1", "m00/a1@1", "m00/a2@1"} {
		f.snapshot.Adapters = append(f.snapshot.Adapters, Adapter{Ref: ref, Base: model(0), MemoryMB: 1})
	}
	srv.Adapters["m00/a0@1"], srv.Adapters["m00/a1@1"] = engine.StateResident, engine.StateResident
	f.setNeed(0, 0.9, 0)
	f.snapshot.Needs["m00/a0@1"] = Need{Load: 0.9, HeldLoad: 0.9, LastUsed: f.snapshot.Now}
	f.snapshot.Needs["m00/a1@1"] = Need{Load: 0.01, HeldLoad: 0.01, LastUsed: f.snapshot.Now}
	f.snapshot.Needs["m00/a2@1"] = Need{Load: 0.05, Waiting: 1, LastUsed: f.snapshot.Now, UnservedSince: f.snapshot.Now.Add(-busyVictimAfter)}
	if got := f.plan(); got != "[s0 unload m00/a1@1]" {
		t.Errorf("planned %s, want an unload of m00/a1@1, not of the busiest", got)
	}
}
