package admission

import (
	"testing"
	"time"

	"limpethub/internal/kernel"
)

// TestPolicies guards the boundary of the deadline policy: a request that finishes exactly
// at its deadline is admitted, a later one is refused with the overrun as RetryAfter.
func TestPolicies(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := Query{Now: now, Deadline: now.Add(3 * time.Second), Wait: 2 * time.Second, ServiceTime: time.Second}
	late := q
	late.Wait += 500 * time.Millisecond
	for name, want := range map[string]Answer{
		PolicyDeadline: {RetryAfter: 500 * time.Millisecond},
		PolicyNone:     {Admit: true},
	} {
		p, err := kernel.New[Policy](name)
		if err != nil {
			t.Fatal(err)
		}
		if !p.Admit(q).Admit {
			t.Errorf("%s refuses a request that finishes exactly at its deadline", name)
		}
		if got := p.Admit(late); got != want {
			t.Errorf("%s: answer to a request that finishes late = %+v, want %+v", name, got, want)
		}
	}
}

// TestRefusesWhatCannotBeginBeforeItsCallerLeaves: the deadline of a long answer is far away, but
// its caller doesn't wait that long for the first event.
func TestRefusesWhatCannotBeginBeforeItsCallerLeaves(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := Query{
		Now: now, Deadline: now.Add(12 * time.Second), Wait: 1900 * time.Millisecond, ServiceTime: 3 * time.Second,
		FirstEventBy: now.Add(2 * time.Second), FirstEventTime: 100 * time.Millisecond,
	}
	if !(deadline{}).Admit(q).Admit {
		t.Error("refuses a request whose first event comes just in time")
	}
	q.Wait += 300 * time.Millisecond
	if got, want := (deadline{}).Admit(q), (Answer{RetryAfter: 300 * time.Millisecond}); got != want {
		t.Errorf("answer to a request that begins too late = %+v, want %+v", got, want)
	}
}
