package scheduling

import (
	"flag"
	"slices"
	"testing"
	"time"

	"limpethub/internal/scheduling/routing"
)

var compare = flag.Bool("compare", false, "print the comparison of all policies")

// compareSeeds is the number of seeds over which the comparison averages.
const compareSeeds = 3

var simPolicies = []string{routing.PolicyDeadline, routing.PolicyLeastOutstanding, routing.PolicyRandomOfTwo, routing.PolicyRoundRobin}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}

// TestCompare prints a table that compares the policies; see compareOne for its columns. It only
// runs with -compare.
func TestCompare(t *testing.T) {
	if !*compare {
		t.Skip("runs with -compare")
	}
	const stale = 3 * time.Second
	cases := []simOptions{
		{load: 0.7}, {load: 1.0}, {load: 1.3}, {load: 1.6},
		{load: 0.7, lag: stale}, {load: 1.0, lag: stale}, {load: 1.3, lag: stale}, {load: 1.6, lag: stale},
		{load: 0.7, slow: 1}, {load: 1.0, slow: 1}, {load: 1.3, slow: 1}, {load: 1.6, slow: 1},
		{load: 0.7, dead: true}, {load: 1.0, dead: true}, {load: 1.3, dead: true}, {load: 1.6, dead: true},
	}
	for _, o := range cases {
		for _, policy := range simPolicies {
			o.policy, o.length = policy, time.Minute
			compareOne(t, o)
		}
	}
}

// compareOne logs one row of the table: load, lag of the reports, number of slow servers,
// whether a server dies, policy, share of requests that ended in time for each of the three
// classes, number of requests that ended in time, dispatches per request, and the 95th
// percentile of the time to the first token of the most urgent class in milliseconds.
func compareOne(t *testing.T, o simOptions) {
	var attainment [3]float64
	var inTime, dispatches, urgentFirstTokenP95Millis float64
	for seed := range compareSeeds {
		o.seed = uint64(seed + 1)
		s := newSim(o)
		s.run()
		for class := range attainment {
			attainment[class] += s.attainment(class) / compareSeeds
		}
		inTime += float64(s.totalInTime()) / compareSeeds
		dispatches += float64(s.dispatches) / float64(len(s.requests)) / compareSeeds
		urgentFirstTokenP95Millis += percentile(s.urgentFirstTokenMillis, 0.95) / compareSeeds
	}
	t.Logf("| %.1f | %v | %d | %v | %s | %.3f | %.3f | %.3f | %.0f | %.3f | %.0f |", o.load, o.lag, o.slow, o.dead, o.policy,
		attainment[0], attainment[1], attainment[2], inTime, dispatches, urgentFirstTokenP95Millis)
}

// TestDeadlinePolicyUnderLoad checks the deadline policy in the simulation, at one seed. At 0.7 of
// the capacity, 99% of the requests of each class must end in time. At 1.3 and 1.6 times the
// capacity, 95% of the most urgent ones must end in time, the number of requests in time must be
// at least 90% of that at capacity, and there may be at most 1.1 dispatches per request.
func TestDeadlinePolicyUnderLoad(t *testing.T) {
	run := func(policy string, load float64) *sim {
		s := newSim(simOptions{policy: policy, load: load, length: 30 * time.Second, seed: 1})
		s.run()
		return s
	}
	lowLoad := run(routing.PolicyDeadline, 0.7)
	for class := range simShares {
		if a := lowLoad.attainment(class); a < 0.99 {
			t.Errorf("load 0.7: attainment of class %d is %.3f, want at least 0.99", class, a)
		}
	}
	fullLoad := run(routing.PolicyDeadline, 1.0)
	for _, load := range []float64{1.3, 1.6} {
		s := run(routing.PolicyDeadline, load)
		if a := s.attainment(0); a < 0.95 {
			t.Errorf("load %.1f: attainment of the most urgent class is %.3f, want at least 0.95", load, a)
		}
		if float64(s.totalInTime()) < 0.9*float64(fullLoad.totalInTime()) {
			t.Errorf("load %.1f: %d requests in time, want at least 0.9 of %d", load, s.totalInTime(), fullLoad.totalInTime())
		}
		if dispatches := float64(s.dispatches) / float64(len(s.requests)); dispatches > 1.1 {
			t.Errorf("load %.1f: %.2f dispatches per request, want at most 1.1", load, dispatches)
		}
	}
}
