package daemon

import "testing"

// TestLoadDigestsGrowSlowerThanTheSquareOfTheInstances guards against instances that spend most of their processor time on
// telling each other their load.
func TestLoadDigestsGrowSlowerThanTheSquareOfTheInstances(t *testing.T) {
	for instances, want := range map[int]int{1: 1, 8: 1, 60: 1, 86: 2, 150: 3, 295: 4, 3000: 4} {
		if got := roundsPerLoad(instances); got != want {
			t.Errorf("%d instances: a load digest each %d rounds, want %d", instances, got, want)
		}
	}
}
