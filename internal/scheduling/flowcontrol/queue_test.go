package flowcontrol

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/request"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(id string, class int, deadline time.Duration) *Item {
	return &Item{
		Request: request.Request{ID: request.ID(id), Class: class, Deadline: epoch.Add(deadline)},
		Work:    time.Second, CheckAt: epoch.Add(deadline / 2),
	}
}

// TestOrderBoundsAndChecks checks that a queue keeps the limit of a class, refuses
// duplicate IDs, returns the earliest deadline first, and still counts hidden items.
func TestOrderBoundsAndChecks(t *testing.T) {
	q := New([]int{2, 1})
	lane := q.NewLane()
	late, early := item("late", 0, 2*time.Second), item("early", 0, time.Second)
	if !q.Push(lane, late) || !q.Push(lane, early) || q.Push(lane, item("third", 0, 1)) {
		t.Fatal("class 0 with a limit of 2: want the first two items accepted and the third refused")
	}
	if q.Push(lane, item("early", 1, 1)) {
		t.Fatal("an item of class 1 with the ID of a waiting item of class 0 was accepted, want it refused")
	}
	if lane.First(0) != early || lane.WorkUpTo(1, 1) != 2*time.Second {
		t.Fatalf("first item = %v, work = %v, want the item \"early\" and 2s", lane.First(0), lane.WorkUpTo(1, 1))
	}
	if q.DueForCheck(epoch) != nil || q.DueForCheck(epoch.Add(time.Second)) != early {
		t.Fatal("want no item due for a check at first, and the item \"early\" after 1 s")
	}
	q.Hide(early)
	if lane.First(0) != late || q.Len() != 2 {
		t.Fatal("want a hidden item not to be the first in its lane, but to count as one of 2 waiting items")
	}
	q.Unhide(early)
	q.SetCheckAt(early, epoch.Add(time.Hour))
	if !q.NextCheck().Equal(late.CheckAt) || !q.Cancel("early") || q.Cancel("early") || q.Length(0) != 1 {
		t.Fatal("want the next check to be that of the item \"late\", one successful cancellation of \"early\", and 1 item left")
	}
}

// TestFloorGivesAShareWhileRequestsWait checks that a class gets its floor's share of the
// dispatches while it has requests waiting, and earns no credits otherwise.
func TestFloorGivesAShareWhileRequestsWait(t *testing.T) {
	q := New([]int{1, 1})
	f := NewFloor([]float64{0, 0.1})
	q.Push(q.NewLane(), item("low", 1, time.Second))
	dispatchedLow := 0
	for range 100 {
		class := 0
		if f.Due(1) {
			class = 1
			dispatchedLow++
		}
		f.Dispatched(class, q)
	}
	if dispatchedLow < 8 || dispatchedLow > 10 {
		t.Fatalf("%d of 100 dispatches went to the class with a floor of 0.1, want 8 to 10", dispatchedLow)
	}
	q.Cancel("low")
	f.Dispatched(0, q)
	if f.Due(1) {
		t.Fatal("a class without waiting requests kept its credits, want them lost")
	}
}

func BenchmarkPushAndRemove(b *testing.B) {
	q := New([]int{1 << 20})
	lane := q.NewLane()
	for i := range 10_000 {
		q.Push(lane, item(fmt.Sprint(i), 0, time.Duration(i*7919%10_000)*time.Millisecond))
	}
	x := item("x", 0, 5*time.Second)
	b.ReportAllocs()
	for b.Loop() {
		q.Push(lane, x)
		q.Remove(x)
	}
}

// TestLateItemsGoAfterOthersOfTheirClass: under a lasting overload, the requests that can still
// meet their objective would otherwise wait behind those that can't.
func TestLateItemsGoAfterOthersOfTheirClass(t *testing.T) {
	q := New([]int{10, 10})
	lane := q.NewLane()
	push := func(id request.ID, deadline time.Duration) *Item {
		item := &Item{Request: request.Request{ID: id, Deadline: epoch.Add(deadline)}, Work: time.Second, PrefillTime: 10 * time.Millisecond}
		q.Push(lane, item)
		return item
	}
	oldest := push("oldest", time.Second)
	push("newer", 2*time.Second)
	q.MarkLate(oldest)
	q.MarkLate(oldest)
	if first := lane.First(0).Request.ID; first != "newer" {
		t.Errorf("first is %s, want newer", first)
	}
	if lane.WorkUpTo(0, 1) != time.Second || lane.PrefillTimeUpTo(0, 1) != 10*time.Millisecond || lane.WorkUpTo(1, 1) != 2*time.Second {
		t.Errorf("work before a new request: %v, %v of prefill, %v for the next class; want that of newer, and of both", lane.WorkUpTo(0, 1), lane.PrefillTimeUpTo(0, 1), lane.WorkUpTo(1, 1))
	}
	q.Remove(lane.First(0))
	q.Remove(lane.First(0))
	if lane.WorkUpTo(1, 1) != 0 || lane.PrefillTimeUpTo(0, 1) != 0 || lane.Len() != 0 {
		t.Errorf("after the removal of all: work %v, prefill %v, %d items, want none", lane.WorkUpTo(1, 1), lane.PrefillTimeUpTo(0, 1), lane.Len())
	}
}
