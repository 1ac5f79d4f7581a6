package residency

import (
	"testing"
	"time"

	"limpethub/internal/modelref"
)

// TestVersionThatGivesWholeAnswersIsNotOverdue guards against a version that counts as unserved since its first wait though it is
// served all the time: requests without a stream count as running never, only as dispatched.
func TestVersionThatGivesWholeAnswersIsNotOverdue(t *testing.T) {
	const ref = modelref.Ref("m@1")
	tracker := NewNeedTracker()
	now := time.Unix(1000, 0)
	update := func(counts RequestCounts) {
		now = now.Add(50 * time.Millisecond)
		tracker.Update(now, map[modelref.Ref]RequestCounts{ref: counts})
	}
	update(RequestCounts{Waiting: 1})
	for range 20 * 60 {
		update(RequestCounts{Unstarted: 1})
	}
	update(RequestCounts{Waiting: 1})
	if unserved := now.Sub(tracker.Needs()[ref].UnservedSince); unserved > time.Second {
		t.Errorf("unserved for %v after a minute of whole answers and one wait of 50 ms, want 0", unserved)
	}
}
