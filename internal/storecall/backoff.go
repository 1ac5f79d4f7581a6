package storecall

import (
	"math/rand/v2"
	"time"
)

const (
	initialBackOff = 100 * time.Millisecond
	maxBackOff     = 3 * time.Second
)

// backOff holds the time before which the service may not be called after failures.
type backOff struct {
	wait      time.Duration
	notBefore time.Time
	// maxWait bounds wait; 0 means the constant maxBackOff.
	maxWait time.Duration
}

// reset ends the back-off and keeps its bound.
func (b *backOff) reset() { *b = backOff{maxWait: b.maxWait} }

// fail doubles the wait, up to the bound. The next call is allowed after a random time
// between half the wait and the whole wait, so that the instances of a site don't call
// again all at the same moment. A failure during the back-off changes nothing, so that
// calls that were in progress together count as one failure.
func (b *backOff) fail(now time.Time, r *rand.Rand) {
	if now.Before(b.notBefore) {
		return
	}
	maxWait := b.maxWait
	if maxWait == 0 {
		maxWait = maxBackOff
	}
	b.wait = min(max(2*b.wait, initialBackOff), maxWait)
	half := b.wait / 2
	b.notBefore = now.Add(half + time.Duration(r.Int64N(int64(half)+1)))
}
