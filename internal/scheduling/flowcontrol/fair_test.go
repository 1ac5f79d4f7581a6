package flowcontrol

import (
	"fmt"
	"testing"
	"time"

	"limpethub/internal/request"
)

func fairItem(id, workspace string, deadline time.Duration) *Item {
	return &Item{Request: request.Request{ID: request.ID(id), Workspace: workspace, Deadline: epoch.Add(deadline)}, Work: time.Second, Cost: 1000}
}

// TestSurgeOfOneWorkspaceDelaysNoOther replays a workspace at six times of what is served, with a
// small one beside it. In the order of deadlines, the small one waits behind all of the surge.
func TestSurgeOfOneWorkspaceDelaysNoOther(t *testing.T) {
	q := New([]int{300})
	lanes := []*Lane{q.NewLane(), q.NewLane()}
	waits := map[string]int{}
	for round := range 1000 {
		push := func(workspace string, i int) {
			item := fairItem(fmt.Sprint(workspace, round, i), workspace, time.Duration(round)*time.Second)
			if last := q.GivesWay(item); last != nil {
				q.Remove(last)
			}
			q.Push(lanes[i%2], item)
		}
		for i := range 6 {
			push("surge", i)
		}
		if round%5 == 0 {
			push("small", round/5)
		}
		first := lanes[0].First(0)
		if other := lanes[1].First(0); first == nil || other != nil && other.Start() < first.Start() {
			first = other
		}
		waits[first.Request.Workspace]++
		q.Remove(first)
		first.Lane().Fair(0).Serve(first.Request.Workspace, first.Cost)
	}
	if waits["small"] < 198 || waits["surge"]+waits["small"] != 1000 {
		t.Errorf("%d requests of the small workspace and %d of the surge were served, want 200 and the rest", waits["small"], waits["surge"])
	}
}

// TestWorkspaceWithTheMostGivesWay guards against a class whose queue one workspace fills, so that
// all others are refused.
func TestWorkspaceWithTheMostGivesWay(t *testing.T) {
	q := New([]int{3})
	lane := q.NewLane()
	for i := range 3 {
		q.Push(lane, fairItem(fmt.Sprint(i), "large", time.Duration(i)*time.Second))
	}
	small := fairItem("small", "small", time.Minute)
	if q.GivesWay(fairItem("another", "large", 0)) != nil {
		t.Fatal("a request gives way to another one of its workspace")
	}
	last := q.GivesWay(small)
	if last == nil || last.Request.ID != "2" {
		t.Fatalf("%v gives way, want the last request of the large workspace", last)
	}
	q.Remove(last)
	q.Push(lane, small)
	if q.GivesWay(fairItem("other", "other", 0)) == nil || q.GivesWay(fairItem("small2", "small", 0)) != nil {
		t.Error("want the large workspace with 2 requests to give way to a third workspace, but not to one with as many as it then has")
	}
}
