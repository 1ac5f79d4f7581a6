package placer

import "time"

// bucket limits the rate of loads. It holds one token at the most, so that loads
// never come in bursts.
type bucket struct {
	tokens float64
	last   time.Time
}

// newBucket makes an empty bucket: a new holder doesn't know the last load.
func newBucket(now time.Time) bucket { return bucket{last: now} }

func (b *bucket) refill(now time.Time, rate float64) {
	if now.After(b.last) {
		b.tokens = min(1, b.tokens+rate*now.Sub(b.last).Seconds())
		b.last = now
	}
}

// available reports whether a token is there.
func (b *bucket) available(now time.Time, rate float64) bool {
	b.refill(now, rate)
	return b.tokens >= 1
}

// takeOne takes a token if there is one.
func (b *bucket) takeOne(now time.Time, rate float64) bool {
	if !b.available(now, rate) {
		return false
	}
	b.tokens--
	return true
}
