// Package pause waits within a context.
package pause

import (
	"context"
	"time"
)

// For waits, and reports whether the whole time passed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
