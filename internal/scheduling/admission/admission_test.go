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
