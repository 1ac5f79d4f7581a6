// Package pause provides waits that end with a context, and computes intervals for calls
// to a service that many instances share.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether it passed in full; false means that ctx ended first. With no time to wait it only looks at
// ctx.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// SharedInterval returns the interval between two calls of one instance to a service that all
// instances call: perInstance for each instance, so that the service's total request rate does
// not depend on their number, but at least minWait and at most maxWait.
func SharedInterval(minWait, perInstance time.Duration, instances int, maxWait time.Duration) time.Duration {
	return min(max(minWait, time.Duration(instances)*perInstance), maxWait)
}
