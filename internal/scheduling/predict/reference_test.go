package predict

import (
	"testing"
	"time"
)

// TestReferenceOfFirstTokenHasAFixedPart guards against short or long prompts that make their servers seem slow
// or fast: the time to the first token isn't proportional to the prompt.
func TestReferenceOfFirstTokenHasAFixedPart(t *testing.T) {
	var r Reference
	usual := func(tokens int) time.Duration {
		return 80*time.Millisecond + time.Duration(tokens)*50*time.Microsecond
	}
	for i := range 200 {
		tokens := 100 << (i % 7)
		r.ObserveFirst(tokens, usual(tokens))
	}
	r.ObserveFirst(400, 10*time.Second)
	for _, tokens := range []int{100, 1000, 6000} {
		got, trust := r.First(tokens)
		near(t, "first token", got, usual(tokens), usual(tokens)/10)
		if trust < 0.9 {
			t.Errorf("trust = %.2f, want at least 0.9", trust)
		}
	}
	if _, trust := r.First(100_000); trust != 0 {
		t.Errorf("trust for a prompt much longer than all before = %.2f, want 0", trust)
	}
}

// TestSamplesOfSlowServersSayNothingOfTheirTarget checks that times are divided by the factor of the server, and that
// they aren't kept for the server itself.
func TestSamplesOfSlowServersSayNothingOfTheirTarget(t *testing.T) {
	target := NewTarget(nil)
	slow, other := NewSpeed(&Server{}, target), NewSpeed(&Server{}, target)
	for range 20 {
		sample := answer(60 * time.Millisecond)
		sample.FirstToken, sample.Duration, sample.ServerFactor = 30*time.Millisecond, 30*time.Millisecond+50*60*time.Millisecond, 3
		slow.Observe(epoch, sample)
	}
	for _, s := range []*Speed{slow, other} {
		e := s.Estimate(epoch, 100, 100, false)
		near(t, "time per token", e.PerToken, 20*time.Millisecond, time.Millisecond)
		near(t, "time per token at 3 times", e.Scaled(3).PerToken, 60*time.Millisecond, 3*time.Millisecond)
	}
}
