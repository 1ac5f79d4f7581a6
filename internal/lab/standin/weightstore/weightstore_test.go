package weightstore

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestLimitsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{LoadsPerSecond: 0.1, Concurrent: 2, MBPerSecond: 10, MinLoad: time.Second})
		start := time.Now()
		var loads sync.WaitGroup
		for range 2 {
			loads.Go(func() {
				if err := s.Load(context.Background(), 40); err != nil {
					t.Error(err)
				}
			})
		}
		synctest.Wait()
		if err := s.Load(context.Background(), 40); !errors.Is(err, ErrLimited) {
			t.Errorf("a third load at once: %v", err)
		}
		loads.Wait()
		if took := time.Since(start); took != 4*time.Second {
			t.Errorf("took %v, want 4s", took)
		}
		if err := s.Load(context.Background(), 40); !errors.Is(err, ErrLimited) {
			t.Errorf("beyond the rate: %v", err)
		}
		want := Stats{Loads: 4, RateViolations: 1, OverlapViolations: 1, PeakConcurrent: 2}
		if got := s.Stats(); got != want {
			t.Errorf("stats %+v, want %+v", got, want)
		}
	})
}
