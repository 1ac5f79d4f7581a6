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

// outOfStepEvents makes an instance stand still, or cuts it off from the other instances and the store, for 1, 3 and 6 s.
// Meanwhile engines change their version one after the other, so that streams which began elsewhere break.
func outOfStepEvents(engines int, cut bool) (events []Event) {
	at := 2 * time.Second
	next := 0
	for _, length := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		if cut {
			events = append(events, Event{Kind: PeersOneWay, At: at, For: length}, Event{Kind: StoreLinkOneWay, At: at, For: length})
		} else {
			events = append(events, Event{Kind: PauseInstance, At: at, For: length})
		}
		for change := 200 * time.Millisecond; change < length+500*time.Millisecond; change += 700 * time.Millisecond {
			events = append(events, Event{Kind: ServerChangesVersion, Target: next % engines, At: at + change, For: 300 * time.Millisecond})
			next++
		}
		at += length + 3*time.Second
	}
	return events
}

// TestInstanceOutOfStepMixesNoVersions guards against streams that go on at another software version, because they are taken up
// at an instance that missed which version began them: it was cut off from the others, or stood still.
func TestInstanceOutOfStepMixesNoVersions(t *testing.T) {
	binary, err := Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	subnet := 40_000
	for _, text := range strings.Split(*outOfStepSizes, ",") {
		instances, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		for _, cut := range []bool{false, true} {
			subnet++
			t.Run(fmt.Sprintf("%d instances, cut %v", instances, cut), func(t *testing.T) {
				size := Size{Instances: instances, Plain: 2, Engines: 4, Length: 21 * time.Second}
				report := Run(t.Context(), Options{
					Seed: 53, Size: size, Events: outOfStepEvents(size.Engines, cut),
					Binary: binary, Dir: t.TempDir(), Callers: 16, Subnet: Subnet(subnet % 100),
				})
				if report.Failed() {
					t.Errorf("run failed: %s %v", report.Failure, report.Violations)
				}
				t.Logf("%d requests, answers %v", report.Tally.Requests, report.Tally.Answers)
			})
		}
	}
}
