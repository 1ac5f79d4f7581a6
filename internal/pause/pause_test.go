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
			t.Errorf("waited %s of a minute", time.Since(start))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		if For(ctx, time.Minute) || time.Since(start) != time.Second {
			t.Errorf("waited %s in a context of a second", time.Since(start))
		}
	})
}
