// Package pause waits within a context, and says how long to wait.
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

// Shared is how long one of some members waits between two calls of a service that all
// of them call: each for all members together, so that the service sees the same rate
// whatever their number, but within least and most.
func Shared(least, each time.Duration, members int, most time.Duration) time.Duration {
	return min(max(least, time.Duration(members)*each), most)
}
