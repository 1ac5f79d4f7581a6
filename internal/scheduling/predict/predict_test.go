package predict

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// answer returns a sample with a prefill of 10 ms for 100 prompt tokens and the given time
// per decode step.
func answer(step time.Duration) Sample {
	return Sample{PromptTokens: 100, MaxTokens: 100, Tokens: 51, FirstToken: 10 * time.Millisecond, Duration: 10*time.Millisecond + 50*step}
}

func near(t *testing.T, what string, got, want, tolerance time.Duration) {
	t.Helper()
	if got < want-tolerance || got > want+tolerance {
		t.Errorf("%s = %v, want %v ± %v", what, got, want, tolerance)
	}
}

// TestEstimateLearnsFromAnswers checks that prefill, decode and total times are predicted
// from answers, and that nothing is predicted before the first one.
func TestEstimateLearnsFromAnswers(t *testing.T) {
	s := NewSpeed(&Server{}, NewTarget(nil))
	if s.Estimate(epoch, 100, 100, false).Known {
		t.Fatal("estimate is known before any answer")
	}
	for range 20 {
		s.Observe(epoch, answer(20*time.Millisecond))
	}
	e := s.Estimate(epoch, 200, 100, false)
	near(t, "first token", e.FirstToken, 20*time.Millisecond, time.Millisecond)
	near(t, "total", e.Total, 20*time.Millisecond+51*20*time.Millisecond, 5*time.Millisecond)
	near(t, "total for 10 tokens", e.TotalFor(10), 220*time.Millisecond, 5*time.Millisecond)
}

// TestOldSamplesLoseWeightAgainstReports guards against a server that was slow once and
// then gets no requests: without new answers its old samples would keep it slow forever,
// so the decode step in its reports has to replace them.
func TestOldSamplesLoseWeightAgainstReports(t *testing.T) {
	server := &Server{}
	s := NewSpeed(server, NewTarget(nil))
	for range 20 {
		s.Observe(epoch, answer(100*time.Millisecond))
	}
	later := epoch.Add(6 * halfLife)
	for range 20 {
		server.ObserveStep(later, 20*time.Millisecond)
	}
	near(t, "time per token right after the slow answers", s.Estimate(epoch, 100, 100, false).PerToken, 100*time.Millisecond, time.Millisecond)
	// After 6 half-lives the weight of the slow answers is 1/64, so 1/64 of 100 ms and 63/64 of
	// 20 ms remain.
	near(t, "later", s.Estimate(later, 100, 100, false).PerToken, 21*time.Millisecond, time.Millisecond)
}

// TestWaitDoesNotCountAsPrefill guards against a long wait in the server that is learned as
// a long prefill: the time to the first token includes both.
func TestWaitDoesNotCountAsPrefill(t *testing.T) {
	s := NewSpeed(&Server{}, NewTarget(NewTarget(nil)))
	s.Observe(epoch, answer(time.Millisecond))
	waited := answer(time.Millisecond)
	waited.FirstToken = time.Second
	s.Observe(epoch, waited)
	near(t, "first token", s.Estimate(epoch, 100, 100, false).FirstToken, 10*time.Millisecond, time.Millisecond)
	other := NewSpeed(&Server{}, NewTarget(s.target.aggregate))
	other.Observe(epoch, waited)
	// The bound is maxPrefillRatio times the 10 ms of all targets.
	near(t, "first token of a target that only waited", other.Estimate(epoch, 100, 100, false).FirstToken, 30*time.Millisecond, 2*time.Millisecond)
}

// TestCachedPrefixIsFaster checks that a cached prefix is assumed to halve the prefill until
// an answer with a cached prefix was measured.
func TestCachedPrefixIsFaster(t *testing.T) {
	s := NewSpeed(&Server{}, NewTarget(nil))
	s.Observe(epoch, answer(time.Millisecond))
	// The first token with a cached prefix, before any answer with one was measured.
	near(t, "untried", s.Estimate(epoch, 100, 100, true).FirstToken, 5*time.Millisecond, time.Millisecond)
	cached := answer(time.Millisecond)
	cached.FirstToken, cached.Cached = 2*time.Millisecond, true
	s.Observe(epoch, cached)
	// The same after an answer with a cached prefix.
	near(t, "seen", s.Estimate(epoch, 100, 100, true).FirstToken, 2*time.Millisecond, time.Millisecond)
}

func BenchmarkEstimate(b *testing.B) {
	s := NewSpeed(&Server{}, NewTarget(nil))
	s.Observe(epoch, answer(time.Millisecond))
	later := epoch.Add(5 * time.Second)
	for b.Loop() {
		s.Estimate(later, 100, 100, false)
	}
}

// TestUnknownTargetUsesTheAggregate checks that the first request for a target is predicted
// from what was learned of the other targets.
func TestUnknownTargetUsesTheAggregate(t *testing.T) {
	aggregate := NewTarget(nil)
	server := &Server{}
	NewSpeed(server, NewTarget(aggregate)).Observe(epoch, answer(20*time.Millisecond))
	e := NewSpeed(server, NewTarget(aggregate)).Estimate(epoch, 100, 100, false)
	if !e.Known {
		t.Fatal("estimate is unknown although another target has a sample")
	}
	near(t, "total", e.Total, 10*time.Millisecond+51*20*time.Millisecond, 5*time.Millisecond)
}
