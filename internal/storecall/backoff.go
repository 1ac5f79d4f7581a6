package storecall

import (
	"math/rand/v2"
	"time"
)

const (
	firstBackOff = 100 * time.Millisecond
	maxBackOff   = 3 * time.Second
)

// backOff is when the service may be called again after failures.
type backOff struct {
	wait  time.Duration
	until time.Time
	// most bounds wait; 0 means maxBackOff.
	most time.Duration
}

func (b *backOff) reset() { *b = backOff{most: b.most} }

// fail doubles the wait. The time until the next call is between half the wait and
// the whole, so that a fleet doesn't come back all at once. Calls that were under
// way together count as one failure.
func (b *backOff) fail(now time.Time, r *rand.Rand) {
	if now.Before(b.until) {
		return
	}
	most := b.most
	if most == 0 {
		most = maxBackOff
	}
	b.wait = min(max(2*b.wait, firstBackOff), most)
	half := b.wait / 2
	b.until = now.Add(half + time.Duration(r.Int64N(int64(half)+1)))
}
