package entries

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"limpethub/internal/membership"
)

func fleet(n int) []membership.Member {
	var out []membership.Member
	for i := range n {
		m := membership.Member{State: membership.Alive}
		m.Name = fmt.Sprintf("entry-%04d", i)
		m.CallerAddress = m.Name + ":8080"
		m.FailureDomain = fmt.Sprintf("zone-%d", i%3)
		out = append(out, m)
	}
	return out
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func TestNearInstancesComeFirstAndLeavingOrDeadAreOmitted(t *testing.T) {
	members := fleet(9)
	members[0].State = membership.Leaving
	members[1].State = membership.Dead
	members[3].State = membership.Suspect
	r := testRand()
	for range 200 {
		got := Pick(Query{FailureDomain: "zone-0"}, members, nil, r).Entries
		if len(got) != 7 {
			t.Fatalf("query from zone-0: got %d entries, want 7", len(got))
		}
		if got[0].Instance != "entry-0006" || got[6].Instance != "entry-0003" {
			t.Fatalf("got %+v, want the near instance first and the suspected one last", got)
		}
		for _, e := range got {
			if e.Instance == "entry-0000" || e.Instance == "entry-0001" {
				t.Fatalf("got %+v, want no leaving or dead instance", got)
			}
		}
	}
}

func TestNoUsableInstanceGivesAnEmptyList(t *testing.T) {
	got := Pick(Query{}, nil, nil, testRand())
	if got.Entries == nil || len(got.Entries) != 0 {
		t.Errorf("got %+v, want an empty list that isn't nil", got)
	}
}

func TestCallersSpreadEvenly(t *testing.T) {
	members := fleet(9)
	first := map[string]int{}
	r := testRand()
	const callers = 9000
	for range callers {
		first[Pick(Query{FailureDomain: "zone-1"}, members, nil, r).Entries[0].Instance]++
	}
	if len(first) != 3 {
		t.Fatalf("%d instances come first, want the 3 near ones", len(first))
	}
	for name, count := range first {
		if count < callers/3*9/10 || count > callers/3*11/10 {
			t.Errorf("%s comes first for %d of %d callers, want a third within ten percent", name, count, callers)
		}
	}
}

func models(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("model-%d", i))
	}
	return out
}

func TestSmallFleetHasNoSubsets(t *testing.T) {
	if PlanSubsets(models(40), fleet(SubsetsAboveInstances)) != nil {
		t.Error("got subsets for a small fleet, want nil")
	}
}

func TestSubsetsAreBounded(t *testing.T) {
	members, all := fleet(300), models(140)
	subsets := PlanSubsets(all, members)
	limit := modelLimit(len(all), len(members))
	total := 0
	for _, m := range members {
		count := subsets.ModelCount(m.Name)
		total += count
		if count > limit {
			t.Errorf("%s is in %d subsets, want at most %d", m.Name, count, limit)
		}
	}
	if total != len(all)*SubsetSize {
		t.Errorf("%d assignments, want %d", total, len(all)*SubsetSize)
	}
	got := Pick(Query{Model: "model-7", FailureDomain: "zone-0"}, members, subsets, testRand()).Entries
	for _, e := range got {
		if !subsets.Has("model-7", e.Instance) {
			t.Errorf("%s is not in the model's subset", e.Instance)
		}
	}
	if len(got) != MaxEntries {
		t.Errorf("model-7: got %d entries, want %d", len(got), MaxEntries)
	}
}

func TestUnknownModelGetsTheWholeFleet(t *testing.T) {
	members := fleet(40)
	subsets := PlanSubsets(models(3), members)
	if got := Pick(Query{Model: "new"}, members, subsets, testRand()).Entries; len(got) != MaxEntries {
		t.Errorf("unknown model: got %d entries, want %d", len(got), MaxEntries)
	}
}

// TestLossOfAnInstanceKeepsMostAssignments guards against reassigning most models when one
// instance of 300 is lost.
func TestLossOfAnInstanceKeepsMostAssignments(t *testing.T) {
	members, all := fleet(300), models(140)
	before := PlanSubsets(all, members)
	after := PlanSubsets(all, append(append([]membership.Member(nil), members[:17]...), members[18:]...))
	kept, total := 0, 0
	for _, model := range all {
		for _, m := range members {
			if before.Has(model, m.Name) {
				total++
				if after.Has(model, m.Name) {
					kept++
				}
			}
		}
	}
	if kept < total*9/10 {
		t.Errorf("%d of %d assignments kept, want at least nine tenths", kept, total)
	}
}

func TestPlannerLimitsItsPlanRate(t *testing.T) {
	var p Planner
	plans := 0
	list := func() []string { plans++; return models(5) }
	now := time.Unix(0, 0)
	for i := range 600 { // A member changes each second for ten minutes.
		if p.Subsets(now.Add(time.Duration(i)*time.Second), uint64(i), 1, fleet(40), list) == nil {
			t.Fatal("got no subsets for 40 members, want those of the last plan or of a new one")
		}
	}
	if plans != 20 {
		t.Errorf("%d plans in ten minutes, want 20", plans)
	}
	p.Subsets(now.Add(time.Hour), 599, 1, fleet(40), list)
	if plans != 21 {
		t.Errorf("%d plans, want one more for the last change", plans)
	}
	p.Subsets(now.Add(2*time.Hour), 599, 1, fleet(40), list)
	if plans != 21 {
		t.Errorf("%d plans, want none without a change", plans)
	}
}

func BenchmarkPlanSubsets(b *testing.B) {
	members, all := fleet(3000), models(1400)
	for b.Loop() {
		PlanSubsets(all, members)
	}
}
