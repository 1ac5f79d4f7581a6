package soak

import (
	"testing"
	"time"
)

// TestShortSoak runs one short schedule with real daemons, and checks that no promise is broken
// and that at least a third of the requests are answered with 200.
func TestShortSoak(t *testing.T) {
	const seed = 1
	binary, err := Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	report := Run(t.Context(), Options{
		Seed: seed, Size: Size{Instances: 3, Plain: 2, Engines: 2, Length: 6 * time.Second},
		Binary: binary, Dir: t.TempDir(), Callers: 4, Subnet: Subnet(0),
	})
	if report.Failed() {
		t.Errorf("run failed: %s %v, events %v", report.Failure, report.Violations, report.Events)
	}
	if report.Tally.Requests < 50 || report.Tally.Answers["200"] < report.Tally.Requests/3 {
		t.Errorf("got %d requests, answers %v, want at least 50 requests, a third of them answered with 200", report.Tally.Requests, report.Tally.Answers)
	}
}
