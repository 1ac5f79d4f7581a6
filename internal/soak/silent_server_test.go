package soak

import (
	"testing"
	"time"
)

// silentServerEvents changes the configuration each second, while one server after the other sends nothing for a moment
// and goes on.
func silentServerEvents(size Size) (events []Event) {
	target := 0
	for at := time.Second; at < size.Length; at += time.Second {
		events = append(events,
			Event{Kind: ChangeConfiguration, At: at},
			Event{Kind: ServerHolds, Target: target % size.Servers(), At: at + 300*time.Millisecond, For: 100 * time.Millisecond})
		target++
	}
	return events
}

// TestConfigurationChangesBesideSilentServers guards against requests that end without an answer when a configuration
// changes while their server is silent for a moment.
func TestConfigurationChangesBesideSilentServers(t *testing.T) {
	binary, err := Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	size := Size{Instances: 3, Plain: 3, Engines: 3, Length: 15 * time.Second}
	report := Run(t.Context(), Options{
		Seed: 53, Size: size, Events: silentServerEvents(size), Binary: binary, Dir: t.TempDir(), Callers: 12, Subnet: Subnet(40),
	})
	if report.Failed() {
		t.Errorf("run failed: %s %v", report.Failure, report.Violations)
	}
	t.Logf("%d requests, answers %v", report.Tally.Requests, report.Tally.Answers)
}
