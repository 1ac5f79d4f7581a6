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

var errAway = errors.New("away")

// service is a store whose Get answers as told.
type service struct {
	store.Store
	calls int
	delay time.Duration
	err   error
}

func (s *service) Get(ctx context.Context, _ string) (store.Entry, error) {
	s.calls++
	select {
	case <-ctx.Done():
		return store.Entry{}, ctx.Err()
	case <-time.After(s.delay):
		return store.Entry{}, s.err
	}
}

func (s *service) Watch(ctx context.Context, _ string, _ store.Revision) (store.Entry, error) {
	s.calls++
	<-ctx.Done()
	return store.Entry{}, ctx.Err()
}

// hammer calls Get without a pause for a while.
func hammer(s *Store, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		_, _ = s.Get(context.Background(), "key")
	}
}

func TestCallsStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &service{}
		s := New(Options{Store: inner, CallsPerSecond: 10, Burst: 5})
		hammer(s, time.Minute)
		if inner.calls < 590 || inner.calls > 610 {
			t.Errorf("%d calls in a minute, want 10 a second", inner.calls)
		}
	})
}

func TestBudgetChangesForAllViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &service{}
		s := New(Options{Store: inner, CallsPerSecond: 1, Burst: 1})
		view := s.For(PurposeConfig)
		s.SetCallsPerSecond(10)
		hammer(view, time.Minute)
		if inner.calls < 590 || inner.calls > 610 {
			t.Errorf("%d calls in a minute, want 10 a second", inner.calls)
		}
	})
}

func TestBackOffWhileTheServiceIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &service{err: errAway}
		s := New(Options{Store: inner, CallsPerSecond: 1000, Burst: 1000})
		hammer(s, 3*time.Minute)
		if inner.calls < 60 || inner.calls > 140 {
			t.Errorf("%d calls in an outage of 3 min, want one each 1.5 to 3 s", inner.calls)
		}
		inner.err = nil
		time.Sleep(maxBackOff)
		before := inner.calls
		hammer(s, time.Second)
		if inner.calls-before < 900 {
			t.Errorf("%d calls in a second after the outage", inner.calls-before)
		}
	})
}

func TestAnswersThatAreRefusalsDontBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, err := range []error{store.ErrNotFound, store.ErrConflict, store.ErrLeaseLost} {
			inner := &service{err: err}
			s := New(Options{Store: inner, CallsPerSecond: 100, Burst: 1})
			hammer(s, time.Second)
			if inner.calls < 95 {
				t.Errorf("%v: %d calls in a second", err, inner.calls)
			}
		}
	})
}

func TestCallThatCannotBeMadeInTimeIsThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &service{}
		s := New(Options{Store: inner, CallsPerSecond: 0.001, Burst: 1})
		if _, err := s.Get(t.Context(), "key"); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Get(t.Context(), "key"); !errors.Is(err, store.ErrThrottled) {
			t.Errorf("err = %v, want ErrThrottled", err)
		}
		if inner.calls != 1 {
			t.Errorf("%d calls reached the service, want 1", inner.calls)
		}
	})
}

func TestSlowAnswerOfFiveSecondsIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Store: &service{delay: 5 * time.Second}})
		if _, err := s.Get(t.Context(), "key"); err != nil {
			t.Error(err)
		}
		s = New(Options{Store: &service{delay: time.Hour}})
		begin := time.Now()
		if _, err := s.Get(t.Context(), "key"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("err = %v", err)
		}
		if took := time.Since(begin); took != DefaultTimeout {
			t.Errorf("took %v, want %v", took, DefaultTimeout)
		}
	})
}

func TestWaitingWatchIsOneCallAndNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &service{}
		registry := prometheus.NewRegistry()
		s := New(Options{Store: inner, Registerer: registry}).For(PurposeConfig)
		_, _ = s.Watch(t.Context(), "key", 0)
		begin := time.Now()
		if _, err := s.Get(t.Context(), "key"); err != nil || time.Since(begin) > time.Millisecond {
			t.Errorf("a watch that ran out caused a back-off: %v, %v", time.Since(begin), err)
		}
		if inner.calls != 2 {
			t.Errorf("%d calls, want 2", inner.calls)
		}
		families, err := registry.Gather()
		if err != nil || len(families) != 1 || len(families[0].GetMetric()) != 2 {
			t.Errorf("metrics: %v, %v", families, err)
		}
	})
}

func TestBackOffIsBoundedAndSpread(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	seen := map[time.Duration]bool{}
	for range 50 {
		var b backOff
		for range 20 {
			now = now.Add(time.Minute)
			b.fail(now, r)
		}
		wait := b.until.Sub(now)
		if wait < maxBackOff/2 || wait > maxBackOff {
			t.Fatalf("wait = %v", wait)
		}
		seen[wait] = true
	}
	if len(seen) < 40 {
		t.Errorf("only %d different waits of 50", len(seen))
	}
}
