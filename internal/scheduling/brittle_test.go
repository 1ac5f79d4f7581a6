package scheduling

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// brittleScheduler returns the scheduler of instance "a" among the given number of instances, with two servers of
// six slots each that say that they are brittle.
func brittleScheduler(t *testing.T, instances int) Scheduler {
	t.Helper()
	s := pausedScheduler(t)
	s.SetServers(epoch, []Server{{Name: "s1", Services: []string{"desk"}}, {Name: "s2", Services: []string{"desk"}}})
	var names []string
	for n := range instances {
		names = append(names, fmt.Sprint("i", n))
	}
	names[0] = s.(*core).instance
	s.SetInstances(epoch, names)
	for _, server := range []string{"s1", "s2"} {
		s.ObserveLoad(epoch, server, engine.StatedLoad{Slots: 6})
		s.ObserveBrittle(epoch, server, true)
	}
	return s
}

func deskRequest(id request.ID, arrived time.Time) request.Request {
	r := requestAt(id, arrived, 10*time.Second)
	r.Model, r.Service = "", "desk"
	return r
}

// outcomes counts the actions for so many requests at once.
func outcomes(s Scheduler, label string, now time.Time, n int) (counts map[Action]int, first Decision) {
	counts = map[Action]int{}
	for k := range n {
		for _, d := range s.Arrive(now, deskRequest(request.ID(fmt.Sprint(label, k)), now)) {
			counts[d.Action]++
			if first.ID == "" {
				first = d
			}
		}
	}
	return counts, first
}

// TestInstancesShareTheSlotsOfBrittleServers guards against instances that each fill the room alone.
func TestInstancesShareTheSlotsOfBrittleServers(t *testing.T) {
	s := brittleScheduler(t, 3)
	if counts, _ := outcomes(s, "q", epoch, 20); counts[Dispatch] != 4 || counts[Queue]+counts[Refuse] != 16 {
		t.Errorf("one of three instances, two servers of six slots: %v, want 4 dispatched and the others queued or refused", counts)
	}
	// A server that turns one away gets fewer for a while.
	s = brittleScheduler(t, 3)
	_, first := outcomes(s, "q", epoch, 4)
	refused := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeServerRefused}
	s.Finish(epoch, Outcome{ID: first.ID, Server: first.Server, Verdict: verdict.NotRun, Err: refused})
	if counts, _ := outcomes(s, "later", epoch.Add(200*time.Millisecond), 4); counts[Dispatch] != 0 {
		t.Errorf("after a rejection: %v, want nothing dispatched in place of what was rejected", counts)
	}
	s.ObserveBrittle(epoch, "s1", false)
	if counts, _ := outcomes(s, "one", epoch.Add(2*time.Second), 4); counts[Dispatch] > 1 {
		t.Errorf("one server of the service still brittle: %v, want both kept to their slots", counts)
	}
	s.ObserveBrittle(epoch, "s2", false)
	if counts, _ := outcomes(s, "none", epoch.Add(3*time.Second), 4); counts[Dispatch] != 4 {
		t.Errorf("no server brittle any more: %v, want all dispatched", counts)
	}
}

// TestInstanceWithoutASlotPassesOn to one that has some, unless the request was passed on to it.
func TestInstanceWithoutASlotPassesOn(t *testing.T) {
	const instances = 40
	s := brittleScheduler(t, instances)
	counts, first := outcomes(s, "q", epoch, 5)
	if s.(*core).servers["s1"].room.Owned()+s.(*core).servers["s2"].room.Owned() > 0 {
		t.Fatal("the instance has slots; the test needs one that has none")
	}
	if counts[PassOn] != 5 || len(first.Peers) == 0 || len(first.Peers) > 12 {
		t.Errorf("%v, passed on to %v, want all 5 passed on to the owners of the 12 slots", counts, first.Peers)
	}
	r := deskRequest("taken-in", epoch)
	r.PassedOnBy = "i3"
	if d := s.Arrive(epoch, r); len(d) != 1 || d[0].Action != Queue {
		t.Errorf("a request that was passed on: %+v, want it queued", d)
	}
}
