package residency

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// planFixture builds snapshots in which servers have memory for three models of equal size.
type planFixture struct {
	snapshot Snapshot
}

func newPlanFixture(models int) *planFixture {
	s := &planFixture{snapshot: Snapshot{Now: time.Unix(1000, 0), Needs: map[modelref.Ref]Need{}, StoreLoads: 3}}
	for i := range models {
		s.snapshot.Models = append(s.snapshot.Models, Model{
			Ref: model(i), MemoryMB: 10, StoreLoadTime: 4 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond,
		})
	}
	return s
}

func model(i int) modelref.Ref { return modelref.Ref(fmt.Sprintf("m%02d@1", i)) }

// addServer adds a server that holds the given models.
func (s *planFixture) addServer(held ...int) *ServerView {
	n := len(s.snapshot.Servers)
	view := ServerView{
		ID: fmt.Sprintf("s%d", n), FailureDomain: fmt.Sprintf("d%d", n%3), Ready: true, MemoryMB: 30, AdapterSlots: 2,
		Models: map[modelref.Ref]engine.HoldingState{}, Adapters: map[modelref.Ref]engine.HoldingState{},
		InMemory: map[modelref.Ref]bool{}, OnDisk: map[modelref.Ref]bool{},
	}
	for _, i := range held {
		view.Models[model(i)] = engine.StateResident
	}
	s.snapshot.Servers = append(s.snapshot.Servers, view)
	return &s.snapshot.Servers[n]
}

func (s *planFixture) setNeed(i int, load float64, waiting int) {
	s.snapshot.Needs[model(i)] = Need{Load: load, HeldLoad: load, Waiting: waiting, LastUsed: s.snapshot.Now}
}

func (s *planFixture) plan() string {
	var out []string
	for _, m := range Plan(s.snapshot) {
		out = append(out, fmt.Sprintf("%s %s %s", m.Server, m.Action, m.Ref))
	}
	return fmt.Sprint(out)
}

func TestModelWithoutCopyIsLoadedFirst(t *testing.T) {
	s := newPlanFixture(3)
	s.addServer(0)
	s.setNeed(0, 5, 0)
	if got := s.plan(); got != "[s0 load m01@1]" {
		t.Errorf("planned %s, want a load of the model without a copy", got)
	}
}

// TestFirstCopyEvictsSurplusCopyOfBusyModel guards against a model staying without a copy
// while a busy model has several. The busy model wants more copies than the servers can hold,
// so none of its copies counts as surplus. In one case a model that had lost its only copy in
// a crash stayed without one for 15 s.
func TestFirstCopyEvictsSurplusCopyOfBusyModel(t *testing.T) {
	s := newPlanFixture(4)
	s.addServer(0, 1, 2)
	s.addServer(0)
	s.snapshot.Servers[1].MemoryMB = 10
	s.setNeed(0, 15, 0)
	s.setNeed(3, 0.5, 1)
	if got := s.plan(); got != "[s0 unload m00@1]" {
		t.Errorf("planned %s, want an unload of a copy of m00", got)
	}
	if got := Plan(s.snapshot); len(got) != 1 || got[0].Ref != model(0) {
		t.Errorf("planned %v, want one move for m00, the only model with a copy to spare", got)
	}
	s.setNeed(3, 0, 0)
	if got := s.plan(); got != "[]" {
		t.Errorf("planned %s for a model without requests, want nothing", got)
	}
}

// TestOnlyServingCopyStaysWhileAnotherIsLoading guards against counting a copy that is still
// loading as one that serves: the only serving copy was unloaded while the second one needed
// another four seconds to load.
func TestOnlyServingCopyStaysWhileAnotherIsLoading(t *testing.T) {
	s := newPlanFixture(2)
	s.addServer(0).MemoryMB = 10
	loading := s.addServer()
	loading.MemoryMB, loading.Ready = 10, false
	loading.Models[model(0)] = engine.StateLoading
	s.setNeed(0, 0.1, 0)
	s.setNeed(1, 3, 4)
	if got := s.plan(); got != "[]" {
		t.Errorf("planned %s, want nothing", got)
	}
}

func TestLastCopyIsEvictedOnlyWhenIdleAndRequestsWait(t *testing.T) {
	s := newPlanFixture(2)
	s.addServer(0).MemoryMB = 10
	if got := s.plan(); got != "[]" {
		t.Errorf("without waiting requests: planned %s, want nothing", got)
	}
	s.setNeed(1, 1, 2)
	s.setNeed(0, 0, 0)
	if got := s.plan(); got != "[]" {
		t.Errorf("while the other model is in use: planned %s, want nothing", got)
	}
	s.snapshot.Needs[model(0)] = Need{LastUsed: s.snapshot.Now.Add(-minIdleForEviction)}
	if got := s.plan(); got != "[s0 unload m00@1]" {
		t.Errorf("once the other model is idle: planned %s, want its unload", got)
	}
}

func TestCopyIsLoadedWhereWeightsAreOnDisk(t *testing.T) {
	s := newPlanFixture(2)
	s.addServer(1)
	s.addServer()
	s.addServer().OnDisk[model(0)] = true
	s.snapshot.Servers[1].FailureDomain, s.snapshot.Servers[2].FailureDomain = "d0", "d0"
	if got := s.plan(); got != "[s2 load m00@1]" {
		t.Errorf("planned %s, want a load on s2, which has the weights on disk", got)
	}
}

func TestStoreLoadsAreReservedForFirstCopies(t *testing.T) {
	s := newPlanFixture(2)
	s.addServer(0)
	s.addServer(1)
	s.addServer()
	s.setNeed(0, 3, 0)
	s.snapshot.StoreLoads = loadsReservedForFirstCopies
	if got := s.plan(); got != "[]" {
		t.Errorf("planned %s with only the reserved loads left, want nothing", got)
	}
	s.snapshot.StoreLoads = loadsReservedForFirstCopies + 1
	if got := s.plan(); got == "[]" {
		t.Error("planned no further copy although a load beyond the reserved ones is left")
	}
}

// TestFreedMemoryIsKeptForItsModel guards against freeing memory for one copy on several
// servers: without a reservation, each plan made until the first unload was done chose
// another server for the same copy.
func TestFreedMemoryIsKeptForItsModel(t *testing.T) {
	s := newPlanFixture(4)
	s.addServer(0, 1, 2)
	s.addServer(0, 1, 2).OnDisk[model(3)] = true
	first := &s.snapshot.Servers[0]
	first.Ready, first.NextLoad = false, model(3)
	first.Models[model(0)] = engine.StateUnloading
	if got := s.plan(); got != "[]" {
		t.Errorf("while memory is being freed: planned %s, want nothing", got)
	}
	delete(first.Models, model(0))
	first.Ready = true
	if got := s.plan(); got != "[s0 load m03@1]" {
		t.Errorf("once memory is free: planned %s, want a load of m03 on s0", got)
	}
}

// TestStoreLoadsAreReservedForModelsWithWaitingRequests guards against spending the loads that
// the weight store allows on models without requests. After a takeover the only allowed load
// went to such a model while memory was still being freed for one with 115 waiting requests.
func TestStoreLoadsAreReservedForModelsWithWaitingRequests(t *testing.T) {
	s := newPlanFixture(3)
	s.addServer(0)
	evicting := &s.snapshot.Servers[0]
	evicting.MemoryMB, evicting.Ready, evicting.NextLoad = 10, false, model(1)
	evicting.Models[model(0)] = engine.StateUnloading
	s.addServer().MemoryMB = 10
	s.snapshot.Servers[1].Models[model(0)] = engine.StateResident
	s.addServer().MemoryMB = 10
	s.setNeed(1, 60, 115)
	s.snapshot.StoreLoads = 1
	for _, m := range Plan(s.snapshot) {
		if m.Ref != model(1) {
			t.Errorf("planned %+v, want moves for m01 only", m)
		}
	}
}

// TestShiftedDemandGetsCopies checks a shift of demand: the busiest model loses its requests,
// and another model, with a single copy, gets all of them.
func TestShiftedDemandGetsCopies(t *testing.T) {
	s := newPlanFixture(6)
	for _, held := range [][]int{{0, 1, 2}, {0, 3, 4}, {0, 5, 1}, {0, 2, 3}} {
		s.addServer(held...)
	}
	s.setNeed(0, 0.1, 0)
	s.setNeed(5, 4, 0)
	moves := Plan(s.snapshot)
	if len(moves) != 3 {
		t.Fatalf("planned %v, want an unload on each server without a copy", moves)
	}
	remaining := map[modelref.Ref]int{model(0): 4, model(1): 2, model(2): 2, model(3): 2, model(4): 1, model(5): 1}
	for _, m := range moves {
		remaining[m.Ref]--
		if m.Action != engine.ActionUnload || remaining[m.Ref] < 1 || m.Server == "s2" {
			t.Errorf("planned %+v, want an unload that leaves a copy of each model and spares s2", m)
		}
	}
}

func TestAdaptersUseFreeSlotsAndEvictIdleOnesWhenRequestsWait(t *testing.T) {
	s := newPlanFixture(1)
	view := s.addServer(0)
	for i := range 3 {
		s.snapshot.Adapters = append(s.snapshot.Adapters, Adapter{Ref: modelref.Ref(fmt.Sprintf("a%d@1", i)), Base: model(0), MemoryMB: 1})
	}
	if got := s.plan(); got != "[]" {
		t.Errorf("without requests: planned %s, want nothing", got)
	}
	s.snapshot.Needs["a0@1"] = Need{LastUsed: s.snapshot.Now.Add(-time.Second)}
	if got := s.plan(); got != "[s0 load a0@1]" {
		t.Errorf("with free slots: planned %s, want a load of a0", got)
	}
	view.Adapters["a0@1"], view.Adapters["a1@1"] = engine.StateResident, engine.StateResident
	if got := s.plan(); got != "[]" {
		t.Errorf("without free slots or waiting requests: planned %s, want nothing", got)
	}
	s.snapshot.Needs["a0@1"] = Need{LastUsed: s.snapshot.Now}
	s.snapshot.Needs["a2@1"] = Need{Load: 1, HeldLoad: 1, Waiting: 1, LastUsed: s.snapshot.Now}
	if got := s.plan(); got != "[s0 unload a1@1]" {
		t.Errorf("with a waiting request: planned %s, want an unload of a1", got)
	}
	view.AdapterSlots = 0
	s.snapshot.Servers[0].AdapterSlots = 0
	view.Adapters = map[modelref.Ref]engine.HoldingState{}
	s.snapshot.Servers[0].Adapters = view.Adapters
	if got := s.plan(); got != "[]" {
		t.Errorf("without slots: planned %s, want nothing", got)
	}
}

func TestTrackerRisesQuicklyAndFallsSlowly(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := NewNeedTracker()
	tracker.Update(now, nil)
	busy := map[modelref.Ref]RequestCounts{"m@1": {Unstarted: 3, Running: 20}}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		tracker.Update(now, busy)
	}
	need := tracker.Needs()["m@1"]
	if need.Load < 2.5 || need.Waiting != 0 || need.LastUsed != now {
		t.Errorf("after 2 s of load: %+v, want a load of at least 2.5, none waiting, last used now", need)
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		tracker.Update(now, nil)
	}
	if need = tracker.Needs()["m@1"]; need.Load > 0.3 || need.HeldLoad < 1.5 {
		t.Errorf("2 s after the load ended: %+v, want a load of at most 0.3 and at least 1.5 held", need)
	}
}

// TestEvictionPrefersServerThatFreesMemorySooner guards against choosing a server only by how
// fast it loads the new model. A hundred requests waited while a server that had the model on
// its disk needed five more seconds to finish the requests running on the evicted model.
func TestEvictionPrefersServerThatFreesMemorySooner(t *testing.T) {
	s := newPlanFixture(2)
	busy := s.addServer(0)
	busy.Requests, busy.OnDisk[model(1)] = 9, true
	s.addServer(0)
	for i := range s.snapshot.Servers {
		s.snapshot.Servers[i].MemoryMB = 10
	}
	s.setNeed(0, 0.4, 0)
	s.setNeed(1, 2, 100)
	if got := s.plan(); got != "[s1 unload m00@1]" {
		t.Errorf("planned %s, want the eviction on s1, which is idle", got)
	}
}
