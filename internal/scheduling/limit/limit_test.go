package limit

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// observe lets n requests end on a full server, a second apart from start on.
func observe(l *Limit, start time.Time, n int, actual time.Duration) {
	for i := range n {
		l.Observe(start.Add(time.Duration(i)*time.Second), Observation{Expected: 100 * time.Millisecond, Actual: actual, Full: true})
	}
}

func TestLimitStaysWithinItsBounds(t *testing.T) {
	l := New()
	observe(l, epoch, 1000, time.Second)
	if l.Value() != 1 {
		t.Errorf("service after overload: %d, want 1", l.Value())
	}
	observe(l, epoch, 100_000, 100*time.Millisecond)
	if l.Value() > ceiling || l.Value() < ceiling/2 {
		t.Errorf("service without overload: %d, want about %d", l.Value(), ceiling)
	}
	l.ObserveBatch(16)
	observe(l, epoch.Add(time.Hour), 1000, time.Second)
	if l.Value() != 16 {
		t.Errorf("engine after overload: %d, want its batch", l.Value())
	}
	observe(l, epoch, 100_000, 100*time.Millisecond)
	if l.Value() != 32 {
		t.Errorf("engine without overload: %d, want twice its batch", l.Value())
	}
}

func TestIdleServerTeachesNothing(t *testing.T) {
	l := New()
	before := l.Value()
	for range 1000 {
		l.Observe(epoch, Observation{Expected: time.Second, Actual: time.Second})
	}
	if l.Value() != before {
		t.Errorf("limit moved from %d to %d", before, l.Value())
	}
}
