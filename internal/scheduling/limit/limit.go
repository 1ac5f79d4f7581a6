// Package limit learns from the durations of completed requests how many requests a server may
// have outstanding. Instances keep further requests in their own queues.
package limit

import "time"

const (
	// initialLimit is the first limit of a server that reports no batch size.
	initialLimit = 8
	// maxLimit is the highest limit of a server that reports no batch size.
	maxLimit = 512
	// initialBatches, minBatches and maxBatches are the first, lowest and highest limit of a
	// server that reports its batch size, as multiples of that size. The limit exceeds the batch
	// size so that the server orders waiting requests of all instances by urgency, and always has
	// one waiting when a slot of its batch becomes free.
	initialBatches = 1.5
	minBatches     = 1
	maxBatches     = 2
	// decreaseFactor is what a sign of overload multiplies the limit by.
	decreaseFactor = 0.95
)

// Limit is the adaptive limit of one server.
type Limit struct {
	batch        int
	value        float64
	lastDecrease time.Time
}

// New returns the limit of a server about which nothing is known.
func New() *Limit { return &Limit{value: initialLimit} }

// ObserveBatch sets the batch size, the number of requests that the server runs at once. A changed
// batch size resets the limit; zero is ignored.
func (l *Limit) ObserveBatch(batch int) {
	if batch <= 0 || batch == l.batch {
		return
	}
	l.batch = batch
	l.value = initialBatches * float64(batch)
}

// Batch returns how many requests the server runs at once, or 0 if it doesn't report it.
func (l *Limit) Batch() int { return l.batch }

// Observation describes a completed request.
type Observation struct {
	// Expected is the predicted duration, including the predicted wait in the server.
	Expected time.Duration
	// Actual is the measured duration.
	Actual time.Duration
	// Full is true if the server was at its limit once it had this request.
	Full bool
}

// overloadRatio is the ratio of actual to expected duration above which a request is a sign
// of overload.
const overloadRatio = 1.5

// Observe adapts the limit. A request that took much longer than expected lowers it, at most
// once per expected duration. A request that ran as expected on a full server raises it a
// little; one on a server that wasn't full says nothing about the limit.
func (l *Limit) Observe(now time.Time, o Observation) {
	if o.Expected <= 0 {
		return
	}
	if float64(o.Actual) > overloadRatio*float64(o.Expected) {
		if now.Sub(l.lastDecrease) >= o.Expected {
			l.lastDecrease = now
			l.value = max(l.minimum(), l.value*decreaseFactor)
		}
		return
	}
	if o.Full {
		l.value = min(l.maximum(), l.value+1/l.value)
	}
}

func (l *Limit) minimum() float64 {
	if l.batch == 0 {
		return 1
	}
	return max(1, minBatches*float64(l.batch))
}

func (l *Limit) maximum() float64 {
	if l.batch == 0 {
		return maxLimit
	}
	return maxBatches * float64(l.batch)
}

// Value returns the limit. A request may be dispatched to the server while fewer requests
// that are at least as urgent are on it.
func (l *Limit) Value() int { return max(1, int(l.value)) }
