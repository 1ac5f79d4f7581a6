package storecall

import (
	"math/rand/v2"
	"time"
)

const (
	initialBackOff = 100 * time.Millisecond
	maxBackOff     = 3 * time.Second
)

// backOff holds the time before which the store may not be called after failures.
type backOff struct {
	// waitBound is the upper bound of the last random wait; 0 means that no call has
	// failed since the last answer. Each failure doubles it, up to maxWait.
	waitBound time.Duration
	notBefore time.Time
	// maxWait bounds waitBound; 0 means the constant maxBackOff.
	maxWait time.Duration
}

// reset ends the back-off and keeps its bound.
func (b *backOff) reset() { *b = backOff{maxWait: b.maxWait} }

// fail doubles waitBound, up to maxWait. The next call is allowed a random time
// between half of waitBound and waitBound after from, so that the instances of a site don't call
// again all at the same moment. A failure during the back-off changes nothing, so that
// calls that were in progress together count as one failure.
func (b *backOff) fail(now, from time.Time, r *rand.Rand) {
	if now.Before(b.notBefore) {
		return
	}
	maxWait := b.maxWait
	if maxWait == 0 {
		maxWait = maxBackOff
	}
	b.waitBound = min(max(2*b.waitBound, initialBackOff), maxWait)
	half := b.waitBound / 2
	b.notBefore = from.Add(half + time.Duration(r.Int64N(int64(half)+1)))
}
