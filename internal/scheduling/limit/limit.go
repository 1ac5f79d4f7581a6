// Package limit adapts how many requests a server may have outstanding before
// instances hold work back in their own queues.
package limit

import "time"

const (
	// initial is the limit of a server that reports no batch size.
	initial = 8
	// ceiling bounds the limit of a server that reports no batch size.
	ceiling = 512
	// start, lowest and highest are the limit of an engine at first, at least and at
	// most, as shares of its batch. It is above the batch, so that the engine can order
	// what waits across instances and always has work for a free place.
	start   = 1.5
	lowest  = 1
	highest = 2
	// decrease is the factor after a sign of overload.
	decrease = 0.95
)

// Limit is the adaptive limit of one server.
type Limit struct {
	batch   int
	value   float64
	changed time.Time
}

// New makes the limit of a server of which nothing is known.
func New() *Limit { return &Limit{value: initial} }

// ObserveBatch takes the number of requests that an engine runs at once.
func (l *Limit) ObserveBatch(batch int) {
	if batch <= 0 || batch == l.batch {
		return
	}
	l.batch = batch
	l.value = start * float64(batch)
}

// Batch is how many requests the server runs at once; 0 when it doesn't say.
func (l *Limit) Batch() int { return l.batch }

// Observation is a completed request.
type Observation struct {
	// Expected is the predicted duration without a wait.
	Expected time.Duration
	// Actual is the duration.
	Actual time.Duration
	// Full is true when the server had reached its limit at dispatch.
	Full bool
}

// overload is the ratio of actual to expected duration that is a sign of overload.
const overload = 1.5

// Observe adapts the limit: a little up for each request that ran as expected on a
// full server, down by a share when one took much longer, at most once per duration.
func (l *Limit) Observe(now time.Time, o Observation) {
	if o.Expected <= 0 {
		return
	}
	if float64(o.Actual) > overload*float64(o.Expected) {
		if now.Sub(l.changed) >= o.Expected {
			l.changed = now
			l.value = max(l.floor(), l.value*decrease)
		}
		return
	}
	if o.Full {
		l.value = min(l.ceiling(), l.value+1/l.value)
	}
}

func (l *Limit) floor() float64 {
	if l.batch == 0 {
		return 1
	}
	return max(1, lowest*float64(l.batch))
}

func (l *Limit) ceiling() float64 {
	if l.batch == 0 {
		return ceiling
	}
	return highest * float64(l.batch)
}

// Value is the limit: how many requests that aren't less urgent than one may be on
// the server for it to be dispatched there.
func (l *Limit) Value() int { return max(1, int(l.value)) }
