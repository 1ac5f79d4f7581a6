package retry

import (
	"testing"
	"time"

	"limpethub/internal/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func taken(b *Budget, now time.Time, tries int) int {
	n := 0
	for range tries {
		if b.Take(now) {
			n++
		}
	}
	return n
}

func TestBudgetIsAShareOfRecentSuccesses(t *testing.T) {
	b := NewBudget(0.1)
	if got := taken(b, epoch, 100); got != spare {
		t.Fatalf("%d retries without any success, want %d", got, spare)
	}
	for range 200 {
		b.Success(epoch)
	}
	if got := taken(b, epoch.Add(time.Second), 100); got != 20 {
		t.Fatalf("%d further retries after 200 successes, want 20", got)
	}
	if got := taken(b, epoch.Add(2*window), 100); got != spare {
		t.Fatalf("%d retries after the successes grew old, want %d", got, spare)
	}
}

func TestMayRepeat(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		if !MayRepeat(v, true) {
			t.Errorf("idempotent after %v: want repeat", v)
		}
		if got := MayRepeat(v, false); got != (v == verdict.NotRun) {
			t.Errorf("non-idempotent after %v: %v", v, got)
		}
	}
}
