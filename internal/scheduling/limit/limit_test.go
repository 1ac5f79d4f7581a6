package limit

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// observe records n requests on a full server that end a second apart, the first at start.
func observe(l *Limit, start time.Time, n int, actual time.Duration) {
	for i := range n {
		l.Observe(start.Add(time.Duration(i)*time.Second), Observation{Expected: 100 * time.Millisecond, Actual: actual, Full: true})
	}
}

// TestLimitStaysWithinItsBounds checks the lowest and highest limit of a server that reports
// no batch size and of an engine that does.
func TestLimitStaysWithinItsBounds(t *testing.T) {
	l := New()
	observe(l, epoch, 1000, time.Second)
	if l.Value() != 1 {
		t.Errorf("limit of a server that reports no batch size, after overload: %d, want 1", l.Value())
	}
	observe(l, epoch, 100_000, 100*time.Millisecond)
	if l.Value() > maxLimit || l.Value() < maxLimit/2 {
		t.Errorf("limit of a server that reports no batch size, after 100,000 requests without overload: %d, want half of %d to all of it", l.Value(), maxLimit)
	}
	l.ObserveBatch(16)
	observe(l, epoch.Add(time.Hour), 1000, time.Second)
	if l.Value() != 16 {
		t.Errorf("engine's limit after overload: %d, want its batch size, 16", l.Value())
	}
	observe(l, epoch, 100_000, 100*time.Millisecond)
	if l.Value() != 32 {
		t.Errorf("engine's limit without overload: %d, want twice its batch size, 32", l.Value())
	}
}

// TestIdleServerDoesNotChangeTheLimit guards against a limit that grows without bound on a
// server that never reaches it: requests that run as expected there don't show its capacity.
func TestIdleServerDoesNotChangeTheLimit(t *testing.T) {
	l := New()
	before := l.Value()
	for range 1000 {
		l.Observe(epoch, Observation{Expected: time.Second, Actual: time.Second})
	}
	if l.Value() != before {
		t.Errorf("limit changed from %d to %d, want no change", before, l.Value())
	}
}
