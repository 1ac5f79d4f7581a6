package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if !For(t.Context(), time.Minute) || time.Since(start) != time.Minute {
			t.Errorf("waited %s, want the whole minute", time.Since(start))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		if For(ctx, time.Minute) || time.Since(start) != time.Second {
			t.Errorf("waited %s, want to stop when the context ends after one second", time.Since(start))
		}
	})
}

func TestShared(t *testing.T) {
	for instances, want := range map[int]time.Duration{0: 2 * time.Second, 8: 2 * time.Second, 40: 4 * time.Second, 3000: time.Minute} {
		if got := SharedInterval(2*time.Second, 100*time.Millisecond, instances, time.Minute); got != want {
			t.Errorf("with %d instances: got %v, want %v", instances, got, want)
		}
	}
}
