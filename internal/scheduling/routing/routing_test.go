package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"limpethub/internal/scheduling/predict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func query() *Query {
	return &Query{Now: epoch, Deadline: epoch.Add(time.Second), Random: rand.New(rand.NewPCG(1, 1))}
}

// server returns a candidate with the given predicted duration in milliseconds.
func server(name string, milliseconds int) Candidate {
	return Candidate{
		Name: name, Limit: 10, Share: 1, OwnAhead: 1,
		Estimate: predict.Estimate{Total: time.Duration(milliseconds) * time.Millisecond, Known: true},
	}
}

// chosen returns how often each candidate is chosen in 600 decisions.
func chosen(t *testing.T, policy string, candidates ...Candidate) map[string]int {
	t.Helper()
	p, err := NewPolicy(policy)
	if err != nil {
		t.Fatal(err)
	}
	q := query()
	out := map[string]int{}
	for i := range 600 {
		q.DecisionCount = uint64(i)
		if at := p.Choose(q, candidates); at >= 0 {
			out[candidates[at].Name]++
		}
	}
	return out
}

func expect(t *testing.T, got, want map[string]int) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("number of decisions per chosen server = %v, want %v", got, want)
	}
}

// TestDeadline checks what the deadline policy drops: full servers unless this instance uses
// less than its share, and servers predicted to finish late unless the request is a probe.
func TestDeadline(t *testing.T) {
	full, late, slow := server("full", 10), server("late", 2000), server("slow", 500)
	full.Ahead = 10
	expect(t, chosen(t, PolicyDeadline, full, late, slow), map[string]int{"slow": 600})
	expect(t, chosen(t, PolicyDeadline, full, late), map[string]int{})
	late.Probe = true
	expect(t, chosen(t, PolicyDeadline, full, late), map[string]int{"late": 600})
	fullWithShareLeft := full
	fullWithShareLeft.OwnAhead = 0
	expect(t, chosen(t, PolicyDeadline, fullWithShareLeft), map[string]int{"full": 600})
}

// TestDeadlineSpreadsOverNearEqualsAndPrefersNear checks that near-equal servers are used about
// equally, those in the instance's failure domain first, and that a full batch costs more.
func TestDeadlineSpreadsOverNearEqualsAndPrefersNear(t *testing.T) {
	a, b, c := server("a", 500), server("b", 510), server("c", 700)
	got := chosen(t, PolicyDeadline, a, b, c)
	if got["a"] < 200 || got["b"] < 200 || got["c"] > 0 {
		t.Errorf("number of decisions per chosen server = %v, want at least 200 each for a and b, none for c", got)
	}
	b.Near, c.Near = true, true
	expect(t, chosen(t, PolicyDeadline, a, b, c), map[string]int{"b": 600})
	b.Total = 10
	expect(t, chosen(t, PolicyDeadline, a, b, c), map[string]int{"a": 600})
}

// TestBaselines checks that the baselines pick in turn or by this instance's own requests only.
func TestBaselines(t *testing.T) {
	a, b, c := server("a", 1), server("b", 1), server("c", 1)
	a.Own, b.Own, c.Own = 5, 1, 3
	expect(t, chosen(t, PolicyRoundRobin, a, b, c), map[string]int{"a": 200, "b": 200, "c": 200})
	expect(t, chosen(t, PolicyLeastOutstanding, a, b, c), map[string]int{"b": 600})
	counts := chosen(t, PolicyRandomOfTwo, a, b, c)
	if counts["a"] != 0 || counts["b"] < 350 || counts["c"] < 150 {
		t.Errorf("random-of-two chose %v, want none for a, at least 350 for b and at least 150 for c", counts)
	}
}

func BenchmarkChoose60(b *testing.B) {
	p, err := NewPolicy(PolicyDeadline)
	if err != nil {
		b.Fatal(err)
	}
	q := query()
	var candidates []Candidate
	for i := range 60 {
		candidates = append(candidates, server(fmt.Sprint(i), 500+i%7))
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(q, candidates)
	}
}

// TestDeadlineDropsServersThatBeginTooLate: the caller leaves before the server's first event,
// long before the deadline of the whole answer.
func TestDeadlineDropsServersThatBeginTooLate(t *testing.T) {
	busy, free := server("busy", 500), server("free", 900)
	busy.Wait, busy.Backlog = 100*time.Millisecond, 150*time.Millisecond
	q := query()
	q.FirstEventBy = epoch.Add(200 * time.Millisecond)
	p, err := NewPolicy(PolicyDeadline)
	if err != nil {
		t.Fatal(err)
	}
	if at := p.Choose(q, []Candidate{busy, free}); at != 1 {
		t.Errorf("chose candidate %d, want 1, which begins in time", at)
	}
	if at := p.Choose(q, []Candidate{busy}); at != -1 {
		t.Errorf("chose candidate %d, want none", at)
	}
}

// TestSharesOfAllInstancesStayBounded replays a fleet with far more instances than a server has
// places: each may use its share, which is at least 1, but not all of them at once.
func TestSharesOfAllInstancesStayBounded(t *testing.T) {
	const instances, limit = 295, 24
	on := 0
	for range instances {
		c := Candidate{Ahead: on, Limit: limit, Share: 1}
		if (room{}).Keep(query(), &c) {
			on++
		}
	}
	if most := limit + limit/overshootDivisor; on > most {
		t.Errorf("%d instances put %d requests on a server with a limit of %d, want at most %d", instances, on, limit, most)
	}
}
