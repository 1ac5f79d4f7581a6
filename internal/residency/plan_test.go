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
	f := &planFixture{snapshot: Snapshot{Now: time.Unix(1000, 0), Needs: map[modelref.Ref]Need{}, WeightStoreLoads: 3}}
	for i := range models {
		f.snapshot.Models = append(f.snapshot.Models, Model{
			Ref: model(i), MemoryMB: 10, WeightStoreLoadTime: 4 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond,
		})
	}
	return f
}

func model(i int) modelref.Ref { return modelref.Ref(fmt.Sprintf("m%02d@1", i)) }

// addServer adds a server that holds the given models.
func (f *planFixture) addServer(held ...int) *ServerView {
	n := len(f.snapshot.Servers)
	view := ServerView{
		ID: fmt.Sprintf("s%d", n), FailureDomain: fmt.Sprintf("d%d", n%3), Ready: true, MemoryMB: 30, AdapterSlots: 2,
		Models: map[modelref.Ref]engine.HoldingState{}, Adapters: map[modelref.Ref]engine.HoldingState{},
		InMemory: map[modelref.Ref]bool{}, OnDisk: map[modelref.Ref]bool{},
	}
	for _, i := range held {
		view.Models[model(i)] = engine.StateResident
	}
	f.snapshot.Servers = append(f.snapshot.Servers, view)
	return &f.snapshot.Servers[n]
}

func (f *planFixture) setNeed(i int, load float64, waiting int) {
	f.snapshot.Needs[model(i)] = Need{Load: load, HeldLoad: load, Waiting: waiting, LastUsed: f.snapshot.Now}
}

func (f *planFixture) plan() string {
	var out []string
	for _, m := range Plan(f.snapshot) {
		out = append(out, fmt.Sprintf("%s %s %s", m.Server, m.Action, m.Ref))
	}
	return fmt.Sprint(out)
}

func TestModelWithoutCopyIsLoadedFirst(t *testing.T) {
	f := newPlanFixture(3)
	f.addServer(0)
	f.setNeed(0, 5, 0)
	if got := f.plan(); got != "[s0 load m01@1]" {
		t.Errorf("planned %s, want a load of the model without a copy", got)
	}
}

// TestFirstCopyEvictsCopyOfBusyModelWithSeveral guards against a model staying without a copy
// while a busy model has several. The busy model wants more copies than the servers can hold,
// so it has none beyond its demand; the waiting request must be enough to evict one of them.
func TestFirstCopyEvictsCopyOfBusyModelWithSeveral(t *testing.T) {
	f := newPlanFixture(4)
	f.addServer(0, 1, 2)
	f.addServer(0)
	f.snapshot.Servers[1].MemoryMB = 10
	f.setNeed(0, 15, 0)
	f.setNeed(3, 0.5, 1)
	if got := f.plan(); got != "[s0 unload m00@1]" {
		t.Errorf("planned %s, want an unload of a copy of m00, the only model with several", got)
	}
	if got := Plan(f.snapshot); len(got) != 1 || got[0].Ref != model(0) {
		t.Errorf("planned %v, want one move for m00, the only model with several copies", got)
	}
	f.setNeed(3, 0, 0)
	if got := f.plan(); got != "[]" {
		t.Errorf("without requests for m03: planned %s, want nothing", got)
	}
}

// TestOnlyServingCopyStaysWhileAnotherIsLoading guards against counting a copy that is still
// loading as one that serves. The only serving copy would then be unloaded, and the model
// couldn't be used until the other copy is loaded.
func TestOnlyServingCopyStaysWhileAnotherIsLoading(t *testing.T) {
	f := newPlanFixture(2)
	f.addServer(0).MemoryMB = 10
	loading := f.addServer()
	loading.MemoryMB, loading.Ready = 10, false
	loading.Models[model(0)] = engine.StateLoading
	f.setNeed(0, 0.1, 0)
	f.setNeed(1, 3, 4)
	if got := f.plan(); got != "[]" {
		t.Errorf("planned %s, want nothing", got)
	}
}

func TestLastCopyIsEvictedOnlyWhenIdleAndRequestsWait(t *testing.T) {
	f := newPlanFixture(2)
	f.addServer(0).MemoryMB = 10
	if got := f.plan(); got != "[]" {
		t.Errorf("without waiting requests: planned %s, want nothing", got)
	}
	f.setNeed(1, 1, 2)
	f.setNeed(0, 0, 0)
	if got := f.plan(); got != "[]" {
		t.Errorf("while the other model is in use: planned %s, want nothing", got)
	}
	f.snapshot.Needs[model(0)] = Need{LastUsed: f.snapshot.Now.Add(-minIdleForEviction)}
	if got := f.plan(); got != "[s0 unload m00@1]" {
		t.Errorf("once the other model is idle: planned %s, want its unload", got)
	}
}

func TestCopyIsLoadedWhereWeightsAreOnDisk(t *testing.T) {
	f := newPlanFixture(2)
	f.addServer(1)
	f.addServer()
	f.addServer().OnDisk[model(0)] = true
	f.snapshot.Servers[1].FailureDomain, f.snapshot.Servers[2].FailureDomain = "d0", "d0"
	if got := f.plan(); got != "[s2 load m00@1]" {
		t.Errorf("planned %s, want a load on s2, which has the weights on disk", got)
	}
}

func TestStoreLoadsAreReservedForFirstCopies(t *testing.T) {
	f := newPlanFixture(2)
	f.addServer(0)
	f.addServer(1)
	f.addServer()
	f.setNeed(0, 3, 0)
	f.snapshot.WeightStoreLoads = loadsReservedForFirstCopies
	if got := f.plan(); got != "[]" {
		t.Errorf("planned %s with only the reserved loads left, want nothing", got)
	}
	f.snapshot.WeightStoreLoads = loadsReservedForFirstCopies + 1
	if got := f.plan(); got == "[]" {
		t.Error("planned no further copy although a load beyond the reserved ones is left")
	}
}

// TestFreedMemoryIsKeptForItsModel guards against freeing memory for one copy on several
// servers. Without a reservation, each plan made before the first unload is done can choose
// another server for the same copy.
func TestFreedMemoryIsKeptForItsModel(t *testing.T) {
	f := newPlanFixture(4)
	f.addServer(0, 1, 2)
	f.addServer(0, 1, 2).OnDisk[model(3)] = true
	first := &f.snapshot.Servers[0]
	first.Ready, first.NextLoad = false, model(3)
	first.Models[model(0)] = engine.StateUnloading
	if got := f.plan(); got != "[]" {
		t.Errorf("while memory is being freed: planned %s, want nothing", got)
	}
	delete(first.Models, model(0))
	first.Ready = true
	if got := f.plan(); got != "[s0 load m03@1]" {
		t.Errorf("once memory is free: planned %s, want a load of m03 on s0", got)
	}
}

// TestStoreLoadsAreReservedForModelsWithWaitingRequests guards against spending the loads that
// the weight store allows on models without requests, while memory is still being freed for a
// model with waiting requests.
func TestStoreLoadsAreReservedForModelsWithWaitingRequests(t *testing.T) {
	f := newPlanFixture(3)
	f.addServer(0)
	evicting := &f.snapshot.Servers[0]
	evicting.MemoryMB, evicting.Ready, evicting.NextLoad = 10, false, model(1)
	evicting.Models[model(0)] = engine.StateUnloading
	f.addServer().MemoryMB = 10
	f.snapshot.Servers[1].Models[model(0)] = engine.StateResident
	f.addServer().MemoryMB = 10
	f.setNeed(1, 60, 115)
	f.snapshot.WeightStoreLoads = 1
	for _, m := range Plan(f.snapshot) {
		if m.Ref != model(1) {
			t.Errorf("planned %+v, want moves for m01 only", m)
		}
	}
}

// TestShiftedDemandGetsCopies checks a shift of demand: the busiest model loses its requests,
// and another model, with a single copy, gets all of them.
func TestShiftedDemandGetsCopies(t *testing.T) {
	f := newPlanFixture(6)
	for _, held := range [][]int{{0, 1, 2}, {0, 3, 4}, {0, 5, 1}, {0, 2, 3}} {
		f.addServer(held...)
	}
	f.setNeed(0, 0.1, 0)
	f.setNeed(5, 4, 0)
	moves := Plan(f.snapshot)
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
	f := newPlanFixture(1)
	srv := f.addServer(0)
	for i := range 3 {
		f.snapshot.Adapters = append(f.snapshot.Adapters, Adapter{Ref: modelref.Ref(fmt.Sprintf("a%d@1", i)), Base: model(0), MemoryMB: 1})
	}
	if got := f.plan(); got != "[]" {
		t.Errorf("without requests: planned %s, want nothing", got)
	}
	f.snapshot.Needs["a0@1"] = Need{LastUsed: f.snapshot.Now.Add(-time.Second)}
	if got := f.plan(); got != "[s0 load a0@1]" {
		t.Errorf("with free slots: planned %s, want a load of a0", got)
	}
	srv.Adapters["a0@1"], srv.Adapters["a1@1"] = engine.StateResident, engine.StateResident
	if got := f.plan(); got != "[]" {
		t.Errorf("without free slots or waiting requests: planned %s, want nothing", got)
	}
	f.snapshot.Needs["a0@1"] = Need{LastUsed: f.snapshot.Now}
	f.snapshot.Needs["a2@1"] = Need{Load: 1, HeldLoad: 1, Waiting: 1, LastUsed: f.snapshot.Now}
	if got := f.plan(); got != "[s0 unload a1@1]" {
		t.Errorf("with a waiting request: planned %s, want an unload of a1", got)
	}
	srv.AdapterSlots = 0
	f.snapshot.Servers[0].AdapterSlots = 0
	srv.Adapters = map[modelref.Ref]engine.HoldingState{}
	f.snapshot.Servers[0].Adapters = srv.Adapters
	if got := f.plan(); got != "[]" {
		t.Errorf("without slots: planned %s, want nothing", got)
	}
}

func TestTrackerRisesQuicklyAndFallsSlowly(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := NewNeedTracker()
	tracker.Update(now, nil)
	busy := map[modelref.Ref]RequestCounts{"m@1": {Unstarted: 3, Running: 20, PrefillTime: 800 * time.Millisecond}}
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

// TestQueueOfShortPromptsDemandsFewCopies guards against a demand that counts each waiting request
// as if its prompt were long: a queue of a second would then demand most copies of a pool.
func TestQueueOfShortPromptsDemandsFewCopies(t *testing.T) {
	const waiting = 15
	short := RequestCounts{Running: 10, Unstarted: waiting, PrefillTime: waiting * 19 * time.Millisecond}
	if got := short.copies(); got > 2 {
		t.Errorf("%d short prompts demand %.1f copies, want at most 2", waiting, got)
	}
	long := RequestCounts{Running: 10, Unstarted: waiting, PrefillTime: waiting * 250 * time.Millisecond}
	if got := long.copies(); got < 8 {
		t.Errorf("%d long prompts demand %.1f copies, want at least 8", waiting, got)
	}
}

// TestFirstCopySparesTheBusiestModel replays the crash of a server with the only copy of a model
// that few ask for. The busiest model has more than one copy and its server accepts orders now,
// but it is overloaded as it is. The copy of a model that nobody asks for any more is the better
// victim, although its server accepts orders only a moment later.
func TestFirstCopySparesTheBusiestModel(t *testing.T) {
	f := newPlanFixture(5)
	f.addServer(0, 1, 2)
	f.addServer(0, 3)
	f.addServer(0, 3)
	for i := range f.snapshot.Servers {
		f.snapshot.Servers[i].MemoryMB = int64(10 * len(f.snapshot.Servers[i].Models))
	}
	f.snapshot.Servers[1].Ready, f.snapshot.Servers[2].Ready = false, false
	f.setNeed(0, 7, 0)
	f.setNeed(1, 0.3, 0)
	f.setNeed(2, 0.3, 0)
	f.setNeed(4, 0.3, 5)
	// The demand for model 3 has just ended, and is held for some seconds.
	f.snapshot.Needs[model(3)] = Need{HeldLoad: 3, LastUsed: f.snapshot.Now}
	if got := f.plan(); got != "[]" {
		t.Errorf("planned %s, want no order until a server with a copy that nobody needs accepts one", got)
	}
	f.snapshot.Servers[2].Ready = true
	if got := f.plan(); got != "[s2 unload m03@1]" {
		t.Errorf("planned %s, want the unload of the copy that nobody needs", got)
	}
}

// TestLoadWaitsForTheWeightStoreRatherThanEvicting guards against evicting a copy in use, which
// takes until its last stream has ended, for want of a load token that comes sooner.
func TestLoadWaitsForTheWeightStoreRatherThanEvicting(t *testing.T) {
	f := newPlanFixture(3)
	f.addServer(0, 1)
	f.addServer(0, 1)
	f.addServer(2)
	f.addServer()
	for i := range 2 {
		f.snapshot.Servers[i].MemoryMB, f.snapshot.Servers[i].Requests = 20, 2
		f.snapshot.Needs[model(i)] = Need{Load: 0.2, HeldLoad: 1.2, LastUsed: f.snapshot.Now}
	}
	f.snapshot.Servers[0].OnDisk[model(2)] = true
	f.snapshot.Models[2].WeightStoreLoadTime = 1200 * time.Millisecond
	f.setNeed(2, 4.2, 0)
	f.snapshot.WeightStoreLoads, f.snapshot.WeightStoreLoadPeriod = 0, 500*time.Millisecond
	if got := f.plan(); got != "[]" {
		t.Errorf("without a token: planned %s, want to wait for the free memory", got)
	}
	f.snapshot.WeightStoreLoads = loadsReservedForFirstCopies + 1
	if got := f.plan(); got != "[s3 load m02@1]" {
		t.Errorf("with a token: planned %s, want the load into free memory", got)
	}
}

// TestEvictionPrefersServerThatFreesMemorySooner guards against choosing a server only by how
// fast it loads the new model. A server that has the weights on disk is the slower choice if it
// must first finish many requests that run on the evicted model.
func TestEvictionPrefersServerThatFreesMemorySooner(t *testing.T) {
	f := newPlanFixture(2)
	busy := f.addServer(0)
	busy.Requests, busy.OnDisk[model(1)] = 9, true
	f.addServer(0)
	for i := range f.snapshot.Servers {
		f.snapshot.Servers[i].MemoryMB = 10
	}
	f.setNeed(0, 0.4, 0)
	f.setNeed(1, 2, 100)
	if got := f.plan(); got != "[s1 unload m00@1]" {
		t.Errorf("planned %s, want the eviction on s1, which is idle", got)
	}
}

// TestAdapterTakesTheSlotOfAnIdleOneOnAnyServer guards against an adapter that isn't loaded, since all those on the server that would
// be the best for it are in use, although others are idle on another server.
func TestAdapterTakesTheSlotOfAnIdleOneOnAnyServer(t *testing.T) {
	f := newPlanFixture(1)
	for i := range 5 {
		f.snapshot.Adapters = append(f.snapshot.Adapters, Adapter{Ref: modelref.Ref(fmt.Sprintf("a%d@1", i)), Base: model(0), MemoryMB: 1})
	}
	f.addServer(0)
	f.addServer(0)
	inUse, idle := &f.snapshot.Servers[0], &f.snapshot.Servers[1]
	inUse.Adapters["a0@1"], inUse.Adapters["a1@1"] = engine.StateResident, engine.StateResident
	idle.Adapters["a2@1"], idle.Adapters["a3@1"] = engine.StateResident, engine.StateResident
	idle.Requests = 5
	for _, ref := range []modelref.Ref{"a0@1", "a1@1", "a2@1"} {
		f.snapshot.Needs[ref] = Need{Load: 0.05, HeldLoad: 0.05, LastUsed: f.snapshot.Now}
	}
	f.snapshot.Needs["a4@1"] = Need{Load: 0.05, HeldLoad: 0.05, Waiting: 1, LastUsed: f.snapshot.Now}
	if got := f.plan(); got != "[s1 unload a3@1]" {
		t.Errorf("planned %s, want the unload of a3, which is idle", got)
	}
	// The order is on its way, and the server accepts no other one.
	idle.Adapters["a3@1"], idle.Ready = engine.StateUnloading, false
	f.snapshot.Needs["a1@1"] = Need{}
	if got := f.plan(); got != "[]" {
		t.Errorf("while a3 is being unloaded: planned %s, want nothing", got)
	}
}
