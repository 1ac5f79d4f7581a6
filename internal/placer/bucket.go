package placer

import "time"

// tokenBucket limits the rate of loads. One token permits one load; it has nothing to do
// with the tokens that models process. The bucket holds at most one token, so that loads
// are never started in bursts.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// newTokenBucket returns an empty bucket, because a new lease holder doesn't know when
// its predecessor ordered the last load.
func newTokenBucket(now time.Time) tokenBucket { return tokenBucket{refilledAt: now} }

// refill adds the tokens that accrued since the last refill, at rate loads per second.
func (b *tokenBucket) refill(now time.Time, rate float64) {
	if now.After(b.refilledAt) {
		b.tokens = min(1, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// available reports whether the bucket holds a whole token.
func (b *tokenBucket) available(now time.Time, rate float64) bool {
	b.refill(now, rate)
	return b.tokens >= 1
}

// take removes one token and reports whether there was one.
func (b *tokenBucket) take(now time.Time, rate float64) bool {
	if !b.available(now, rate) {
		return false
	}
	b.tokens--
	return true
}
