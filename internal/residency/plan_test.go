package residency

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/modelref"
)

// shop builds snapshots: servers of three places, models of equal size.
type shop struct {
	snapshot Snapshot
}

func newShop(models int) *shop {
	s := &shop{snapshot: Snapshot{Now: time.Unix(1000, 0), Needs: map[modelref.Ref]Need{}, StoreLoads: 3}}
	for i := range models {
		s.snapshot.Models = append(s.snapshot.Models, Model{
			Ref: model(i), MemoryMB: 10, Load: 4 * time.Second, Disk: 800 * time.Millisecond, Warm: 400 * time.Millisecond,
		})
	}
	return s
}

func model(i int) modelref.Ref { return modelref.Ref(fmt.Sprintf("m%02d@1", i)) }

// add adds a server that holds models.
func (s *shop) add(held ...int) *ServerView {
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

func (s *shop) need(i int, load float64, waiting int) {
	s.snapshot.Needs[model(i)] = Need{Load: load, Held: load, Waiting: waiting, LastUsed: s.snapshot.Now}
}

func (s *shop) plan() string {
	var out []string
	for _, m := range Plan(s.snapshot) {
		out = append(out, fmt.Sprintf("%s %s %s", m.Server, m.Action, m.Ref))
	}
	return fmt.Sprint(out)
}

func TestModelWithoutACopyComesFirst(t *testing.T) {
	s := newShop(3)
	s.add(0)
	s.need(0, 5, 0)
	if got := s.plan(); got != "[s0 load m01@1]" {
		t.Errorf("planned %s", got)
	}
}

// TestFirstCopyDisplacesASpareOneHoweverBusy replays a day on which the busiest model
// wanted more copies than there were places, so that none of its copies counted as spare,
// and a model that had lost its only copy in a crash stayed without one for 15 s.
func TestFirstCopyDisplacesASpareOneHoweverBusy(t *testing.T) {
	s := newShop(4)
	s.add(0, 1, 2)
	s.add(0)
	s.snapshot.Servers[1].MemoryMB = 10
	s.need(0, 15, 0)
	s.need(3, 0.5, 1)
	if got := s.plan(); got != "[s0 unload m00@1]" {
		t.Errorf("planned %s", got)
	}
	if got := Plan(s.snapshot); len(got) != 1 || got[0].Ref != model(0) {
		t.Errorf("planned %v, only m00 has a copy to spare", got)
	}
	s.need(3, 0, 0)
	if got := s.plan(); got != "[]" {
		t.Errorf("planned %s for a model that nobody asks for", got)
	}
}

// TestCopyThatServesStaysWhileTheOtherIsOnlyLoading replays a day on which the one copy
// that served was unloaded while a second one still took four seconds to load.
func TestCopyThatServesStaysWhileTheOtherIsOnlyLoading(t *testing.T) {
	s := newShop(2)
	s.add(0).MemoryMB = 10
	loading := s.add()
	loading.MemoryMB, loading.Ready = 10, false
	loading.Models[model(0)] = engine.StateLoading
	s.need(0, 0.1, 0)
	s.need(1, 3, 4)
	if got := s.plan(); got != "[]" {
		t.Errorf("planned %s", got)
	}
}

func TestLastCopyStaysUnlessOthersWaitAndNobodyAsksForIt(t *testing.T) {
	s := newShop(2)
	s.add(0).MemoryMB = 10
	if got := s.plan(); got != "[]" {
		t.Errorf("without waiting requests: %s", got)
	}
	s.need(1, 1, 2)
	s.need(0, 0, 0)
	if got := s.plan(); got != "[]" {
		t.Errorf("while the other is in use: %s", got)
	}
	s.snapshot.Needs[model(0)] = Need{LastUsed: s.snapshot.Now.Add(-turnTime)}
	if got := s.plan(); got != "[s0 unload m00@1]" {
		t.Errorf("taking turns: %s", got)
	}
}

func TestCopyGoesWhereItsWeightsAreAtHand(t *testing.T) {
	s := newShop(2)
	s.add(1)
	s.add()
	s.add().OnDisk[model(0)] = true
	s.snapshot.Servers[1].FailureDomain, s.snapshot.Servers[2].FailureDomain = "d0", "d0"
	if got := s.plan(); got != "[s2 load m00@1]" {
		t.Errorf("planned %s", got)
	}
}

func TestStoreLoadsAreKeptForFirstCopies(t *testing.T) {
	s := newShop(2)
	s.add(0)
	s.add(1)
	s.add()
	s.need(0, 3, 0)
	s.snapshot.StoreLoads = reservedLoads
	if got := s.plan(); got != "[]" {
		t.Errorf("another copy took the last load: %s", got)
	}
	s.snapshot.StoreLoads = reservedLoads + 1
	if got := s.plan(); got == "[]" {
		t.Error("no other copy although loads are free")
	}
}

// TestRoomThatIsMadeIsKeptForItsModel replays a quiet day on which each plan made room
// for the same copy on yet another server, as long as the first unload took.
func TestRoomThatIsMadeIsKeptForItsModel(t *testing.T) {
	s := newShop(4)
	s.add(0, 1, 2)
	s.add(0, 1, 2).OnDisk[model(3)] = true
	first := &s.snapshot.Servers[0]
	first.Ready, first.Goal = false, model(3)
	first.Models[model(0)] = engine.StateUnloading
	if got := s.plan(); got != "[]" {
		t.Errorf("while room is being made: %s", got)
	}
	delete(first.Models, model(0))
	first.Ready = true
	if got := s.plan(); got != "[s0 load m03@1]" {
		t.Errorf("once there is room: %s", got)
	}
}

// TestLoadsAreKeptForModelsThatRequestsWaitFor replays a takeover in which the one load
// that the weight store allowed went to a model that nobody asked for, while room was
// still being made for one with 115 requests.
func TestLoadsAreKeptForModelsThatRequestsWaitFor(t *testing.T) {
	s := newShop(3)
	s.add(0)
	making := &s.snapshot.Servers[0]
	making.MemoryMB, making.Ready, making.Goal = 10, false, model(1)
	making.Models[model(0)] = engine.StateUnloading
	s.add().MemoryMB = 10
	s.snapshot.Servers[1].Models[model(0)] = engine.StateResident
	s.add().MemoryMB = 10
	s.need(1, 60, 115)
	s.snapshot.StoreLoads = 1
	for _, m := range Plan(s.snapshot) {
		if m.Ref != model(1) {
			t.Errorf("planned %+v", m)
		}
	}
}

// TestShiftedDemandGetsCopies replays a shift: the busiest model falls silent, and
// another one with a single copy takes all of its requests.
func TestShiftedDemandGetsCopies(t *testing.T) {
	s := newShop(6)
	for _, held := range [][]int{{0, 1, 2}, {0, 3, 4}, {0, 5, 1}, {0, 2, 3}} {
		s.add(held...)
	}
	s.need(0, 0.1, 0)
	s.need(5, 4, 0)
	moves := Plan(s.snapshot)
	if len(moves) != 3 {
		t.Fatalf("planned %v, want room on each server without a copy", moves)
	}
	left := map[modelref.Ref]int{model(0): 4, model(1): 2, model(2): 2, model(3): 2, model(4): 1, model(5): 1}
	for _, m := range moves {
		left[m.Ref]--
		if m.Action != engine.ActionUnload || left[m.Ref] < 1 || m.Server == "s2" {
			t.Errorf("planned %+v", m)
		}
	}
}

func TestAdaptersTakeFreeSlotsAndWaitingOnesDisplaceIdleOnes(t *testing.T) {
	s := newShop(1)
	view := s.add(0)
	for i := range 3 {
		s.snapshot.Adapters = append(s.snapshot.Adapters, Adapter{Ref: modelref.Ref(fmt.Sprintf("a%d@1", i)), Base: model(0), MemoryMB: 1})
	}
	if got := s.plan(); got != "[]" {
		t.Errorf("adapters that nobody asked for: %s", got)
	}
	s.snapshot.Needs["a0@1"] = Need{LastUsed: s.snapshot.Now.Add(-time.Second)}
	if got := s.plan(); got != "[s0 load a0@1]" {
		t.Errorf("with free slots: %s", got)
	}
	view.Adapters["a0@1"], view.Adapters["a1@1"] = engine.StateResident, engine.StateResident
	if got := s.plan(); got != "[]" {
		t.Errorf("without free slots: %s", got)
	}
	s.snapshot.Needs["a0@1"] = Need{LastUsed: s.snapshot.Now}
	s.snapshot.Needs["a2@1"] = Need{Load: 1, Held: 1, Waiting: 1, LastUsed: s.snapshot.Now}
	if got := s.plan(); got != "[s0 unload a1@1]" {
		t.Errorf("with a waiting one: %s", got)
	}
	view.AdapterSlots = 0
	s.snapshot.Servers[0].AdapterSlots = 0
	view.Adapters = map[modelref.Ref]engine.HoldingState{}
	s.snapshot.Servers[0].Adapters = view.Adapters
	if got := s.plan(); got != "[]" {
		t.Errorf("without slots: %s", got)
	}
}

func TestTrackerIsQuickToRiseAndSlowToFall(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := NewTracker()
	tracker.Update(now, nil)
	busy := map[modelref.Ref]Gauge{"m@1": {Unbegun: 3, Running: 20}}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		tracker.Update(now, busy)
	}
	need := tracker.Needs()["m@1"]
	if need.Load < 2.5 || need.Waiting != 0 || need.LastUsed != now {
		t.Errorf("after 2 s: %+v", need)
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		tracker.Update(now, nil)
	}
	if need = tracker.Needs()["m@1"]; need.Load > 0.3 || need.Held < 1.5 {
		t.Errorf("2 s after the end: %+v", need)
	}
}

// TestRoomIsMadeWhereItIsFreeSoon replays a day on which room for a model that a hundred
// requests waited for was made on a server whose runs on the model that gave way took five
// more seconds, since the server had the new one on its disk.
func TestRoomIsMadeWhereItIsFreeSoon(t *testing.T) {
	s := newShop(2)
	busy := s.add(0)
	busy.Requests, busy.OnDisk[model(1)] = 9, true
	s.add(0)
	for i := range s.snapshot.Servers {
		s.snapshot.Servers[i].MemoryMB = 10
	}
	s.need(0, 0.4, 0)
	s.need(1, 2, 100)
	if got := s.plan(); got != "[s1 unload m00@1]" {
		t.Errorf("planned %s", got)
	}
}
