package retry

import (
	"testing"
	"time"

	"limpethub/internal/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// takeUpTo asks for a number of retries and returns how many the budget granted.
func takeUpTo(b *Budget, now time.Time, tries int) int {
	n := 0
	for range tries {
		if b.Take(now) {
			n++
		}
	}
	return n
}

// TestBudgetIsAShareOfRecentSuccesses checks the retries that are granted without any success,
// with recent successes, and after the successes have left the window.
func TestBudgetIsAShareOfRecentSuccesses(t *testing.T) {
	b := NewBudget(0.1)
	if got := takeUpTo(b, epoch, 100); got != defaultSpare {
		t.Fatalf("%d retries without any success, want %d", got, defaultSpare)
	}
	for range 200 {
		b.Success(epoch)
	}
	if got := takeUpTo(b, epoch.Add(time.Second), 100); got != 20 {
		t.Fatalf("%d further retries after 200 successes, want 20", got)
	}
	if got := takeUpTo(b, epoch.Add(2*window), 100); got != defaultSpare {
		t.Fatalf("%d retries after the successes left the window, want %d", got, defaultSpare)
	}
}

// TestMayRetry checks that a request that isn't idempotent is only dispatched again if it was
// proved not to have run.
func TestMayRetry(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		if !MayRetry(v, true) {
			t.Errorf("idempotent request after %v may not be dispatched again, want it allowed", v)
		}
		if got := MayRetry(v, false); got != (v == verdict.NotRun) {
			t.Errorf("non-idempotent request after %v: MayRetry = %v, want the opposite", v, got)
		}
	}
}

// TestLessUrgentRetriesGiveWay guards against retries of less urgent requests that use up what more
// urgent ones of the service need.
func TestLessUrgentRetriesGiveWay(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b := NewBudget(0.1)
	for b.TakeFor(now, 1) {
	}
	if b.TakeFor(now, 0) {
		t.Fatal("a retry beyond the budget was allowed")
	}
	later := now.Add(window - time.Millisecond)
	for range 100 {
		b.Success(later)
	}
	if b.TakeFor(later, 1) || !b.TakeFor(later, 0) {
		t.Error("want a retry for the class that lacked one, and none for a less urgent class")
	}
	if !b.TakeFor(now.Add(2*window), 1) {
		t.Error("want retries for the less urgent class once the more urgent one lacks none")
	}
}
