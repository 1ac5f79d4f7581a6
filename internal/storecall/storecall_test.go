package storecall

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpethub/internal/store"
)

var errUnavailable = errors.New("away")

// fakeStore is a store whose Get answers with err after delay, and whose Watch waits for
// the end of its context.
type fakeStore struct {
	store.Store
	calls int
	delay time.Duration
	err   error
}

func (s *fakeStore) Get(ctx context.Context, _ string) (store.Entry, error) {
	s.calls++
	select {
	case <-ctx.Done():
		return store.Entry{}, ctx.Err()
	case <-time.After(s.delay):
		return store.Entry{}, s.err
	}
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ store.Revision, _ func()) (store.Entry, error) {
	s.calls++
	<-ctx.Done()
	return store.Entry{}, ctx.Err()
}

// callContinuously calls Get without a pause for the duration d.
func callContinuously(s *Store, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		_, _ = s.Get(context.Background(), "key")
	}
}

func TestCallsStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &fakeStore{}
		s := New(Options{Store: inner, CallsPerSecond: 10, Burst: 5})
		callContinuously(s, time.Minute)
		if inner.calls < 590 || inner.calls > 610 {
			t.Errorf("got %d calls in a minute, want 590 to 610 (10 a second)", inner.calls)
		}
	})
}

// TestBudgetChangesForAllViews changes the budget through one view and checks it
// through another.
func TestBudgetChangesForAllViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &fakeStore{}
		s := New(Options{Store: inner, CallsPerSecond: 1, Burst: 1})
		view := s.For(PurposeConfig)
		s.SetCallsPerSecond(10)
		callContinuously(view, time.Minute)
		if inner.calls < 590 || inner.calls > 610 {
			t.Errorf("got %d calls in a minute, want 590 to 610 (10 a second)", inner.calls)
		}
	})
}

// TestBackOffWhileServiceIsUnavailable checks that an outage isn't made worse by
// continuous calls, and that calls resume at full rate after it.
func TestBackOffWhileServiceIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &fakeStore{err: errUnavailable}
		s := New(Options{Store: inner, CallsPerSecond: 1000, Burst: 1000})
		callContinuously(s, 3*time.Minute)
		if inner.calls < 60 || inner.calls > 140 {
			t.Errorf("got %d calls in an outage of 3 min, want 60 to 140 (one each 1.5 to 3 s)", inner.calls)
		}
		inner.err = nil
		time.Sleep(maxBackOff)
		before := inner.calls
		callContinuously(s, time.Second)
		if inner.calls-before < 900 {
			t.Errorf("got %d calls in the first second after the outage, want at least 900", inner.calls-before)
		}
	})
}

// TestErrorAnswersDontBackOff checks that errors which are answers of a working store
// don't slow down later calls.
func TestErrorAnswersDontBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, err := range []error{store.ErrNotFound, store.ErrConflict, store.ErrLeaseLost, store.ErrUndecodable} {
			inner := &fakeStore{err: err}
			s := New(Options{Store: inner, CallsPerSecond: 100, Burst: 1})
			callContinuously(s, time.Second)
			if inner.calls < 95 {
				t.Errorf("%v: got %d calls in a second, want at least 95", err, inner.calls)
			}
		}
	})
}

func TestCallBeyondBudgetIsThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &fakeStore{}
		s := New(Options{Store: inner, CallsPerSecond: 0.001, Burst: 1})
		if _, err := s.Get(t.Context(), "key"); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Get(t.Context(), "key"); !errors.Is(err, store.ErrThrottled) {
			t.Errorf("got error %v, want ErrThrottled", err)
		}
		if inner.calls != 1 {
			t.Errorf("got %d calls at the store, want 1", inner.calls)
		}
	})
}

// TestTimeoutAllowsFiveSecondAnswer checks that an answer after 5 s still counts, and
// that a call without an answer ends at the default timeout.
func TestTimeoutAllowsFiveSecondAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Store: &fakeStore{delay: 5 * time.Second}})
		if _, err := s.Get(t.Context(), "key"); err != nil {
			t.Error(err)
		}
		s = New(Options{Store: &fakeStore{delay: time.Hour}})
		begin := time.Now()
		if _, err := s.Get(t.Context(), "key"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got error %v, want DeadlineExceeded", err)
		}
		if took := time.Since(begin); took != DefaultTimeout {
			t.Errorf("call took %v, want %v", took, DefaultTimeout)
		}
	})
}

// TestWatchTimeoutIsOneCallAndNoFailure guards against a back-off after a watch that
// ended at its timeout without a change, which is the normal case.
func TestWatchTimeoutIsOneCallAndNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &fakeStore{}
		registry := prometheus.NewRegistry()
		s := New(Options{Store: inner, Registerer: registry}).For(PurposeConfig)
		_, _ = s.Watch(t.Context(), "key", 0, func() {})
		begin := time.Now()
		if _, err := s.Get(t.Context(), "key"); err != nil || time.Since(begin) > time.Millisecond {
			t.Errorf("call after a watch timeout took %v with error %v, want no back-off and no error", time.Since(begin), err)
		}
		if inner.calls != 2 {
			t.Errorf("got %d calls at the store, want 2", inner.calls)
		}
		families, err := registry.Gather()
		if err != nil || len(families) != 1 || len(families[0].GetMetric()) != 2 {
			t.Errorf("got metrics %v and error %v, want one family with two series", families, err)
		}
	})
}

// TestBackOffIsBoundedAndJittered checks that waits stay between half the bound and the
// bound, and that they differ, so that instances don't call again at the same moment.
func TestBackOffIsBoundedAndJittered(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	waits := map[time.Duration]bool{}
	for range 50 {
		var b backOff
		for range 20 {
			now = now.Add(time.Minute)
			b.fail(now, now, r)
		}
		wait := b.notBefore.Sub(now)
		if wait < maxBackOff/2 || wait > maxBackOff {
			t.Fatalf("got wait %v, want 1.5 s to 3 s (half of maxBackOff to maxBackOff)", wait)
		}
		waits[wait] = true
	}
	if len(waits) < 40 {
		t.Errorf("got %d different waits of 50, want at least 40", len(waits))
	}
}
