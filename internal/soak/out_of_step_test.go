package soak

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// outOfStepSizes is for runs by hand with more instances.
var outOfStepSizes = flag.String("out-of-step", "3", "numbers of instances for TestInstanceOutOfStepMixesNoVersions, with commas between")

// outOfStepPlain is the number of plain servers; the engines have the numbers behind them.
const outOfStepPlain = 2

// outOfStepEvents makes an instance stand still, or cuts it off from the other instances and the store, for 1, 3 and 6 s.
// Meanwhile an engine of another version joins and takes streams through the other instances. These break right before
// the instance returns.
func outOfStepEvents(cut bool) (events []Event) {
	joinsAgainAt := time.Duration(0)
	at := 4 * time.Second
	for n, length := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		if cut {
			events = append(events, Event{Kind: PeersOneWay, At: at, For: length}, Event{Kind: StoreLinkOneWay, At: at, For: length})
		} else {
			events = append(events, Event{Kind: PauseInstance, At: at, For: length})
		}
		engine := outOfStepPlain + n%2
		joinsAt := at + 200*time.Millisecond
		events = append(events,
			Event{Kind: EngineJoins, Target: engine, At: joinsAgainAt, For: joinsAt - joinsAgainAt},
			Event{Kind: ServerReset, Target: engine, At: at + length - 100*time.Millisecond, For: 400 * time.Millisecond})
		if n == 1 {
			joinsAgainAt = at + length + time.Second
		}
		at += length + 4*time.Second
	}
	return events
}

// versionChangeEvents cuts an instance off in the same way, while engines change their version under their ids.
func versionChangeEvents(engines int) (events []Event) {
	at, next := 2*time.Second, 0
	for _, length := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		events = append(events, Event{Kind: PeersOneWay, At: at, For: length}, Event{Kind: StoreLinkOneWay, At: at, For: length})
		for change := 200 * time.Millisecond; change < length+500*time.Millisecond; change += 700 * time.Millisecond {
			events = append(events, Event{Kind: ServerChangesVersion, Target: outOfStepPlain + next%engines, At: at + change, For: 300 * time.Millisecond})
			next++
		}
		at += length + 3*time.Second
	}
	return events
}

// outOfStepEngines is the number of engines of the runs.
const outOfStepEngines = 4

// runOutOfStep runs a schedule with real daemons, and checks that no promise is broken.
func runOutOfStep(t *testing.T, binary string, instances, subnet int, events []Event) {
	t.Helper()
	report := Run(t.Context(), Options{
		Seed: 53, Size: Size{Instances: instances, Plain: outOfStepPlain, Engines: outOfStepEngines, Length: End(events)}, Events: events,
		Binary: binary, Dir: t.TempDir(), Callers: 16, Subnet: Subnet(subnet),
	})
	if report.Failed() {
		t.Errorf("run failed: %s %v", report.Failure, report.Violations)
	}
	t.Logf("%d requests, answers %v", report.Tally.Requests, report.Tally.Answers)
}

// TestServersChangeVersionWhileAnInstanceIsCutOff guards against a stream that goes on at another version, because the
// server that an instance believes to have the right one has started again under its id.
func TestServersChangeVersionWhileAnInstanceIsCutOff(t *testing.T) {
	binary, err := Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	runOutOfStep(t, binary, 3, 20, versionChangeEvents(outOfStepEngines))
}

// TestInstanceOutOfStepMixesNoVersions guards against streams that go on at another software version, because they are taken up
// at an instance that missed which version began them: it was cut off from the others, or stood still.
func TestInstanceOutOfStepMixesNoVersions(t *testing.T) {
	binary, err := Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	subnet := 0
	for _, text := range strings.Split(*outOfStepSizes, ",") {
		instances, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		for _, cut := range []bool{false, true} {
			subnet++
			t.Run(fmt.Sprintf("%d instances, cut %v", instances, cut), func(t *testing.T) {
				runOutOfStep(t, binary, instances, subnet, outOfStepEvents(cut))
			})
		}
	}
}
