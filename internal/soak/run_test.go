package soak

import (
	"testing"
	"time"
)

// TestShortSoak plays one short schedule with real processes.
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
		t.Errorf("%s %v, events %v", report.Failure, report.Violations, report.Events)
	}
	if report.Tally.Requests < 50 || report.Tally.Answers["200"] < report.Tally.Requests/3 {
		t.Errorf("%d requests, answers %v", report.Tally.Requests, report.Tally.Answers)
	}
}
