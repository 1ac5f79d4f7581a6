// Package predict learns how fast servers run the targets that requests ask for,
// and predicts how long a request will take on a server.
package predict

import (
	"math"
	"time"
)

// smoothing is the weight of a new sample in an average.
const smoothing = 0.2

// average is an exponentially weighted mean with its mean absolute deviation.
type average struct {
	mean      float64
	deviation float64
	samples   int
	last      time.Time
}

// add takes a sample that was seen at now.
func (a *average) add(now time.Time, sample float64) {
	a.last = now
	a.samples++
	if a.samples == 1 {
		a.mean = sample
		return
	}
	// The first samples weigh more, so that a bad first one is soon forgotten.
	weight := max(smoothing, 1/float64(a.samples))
	a.deviation += weight * (math.Abs(sample-a.mean) - a.deviation)
	a.mean += weight * (sample - a.mean)
}

// known reports whether there is any sample.
func (a *average) known() bool { return a.samples > 0 }

// trust is the weight, 0 to 1, that the average deserves at now: it halves with
// each half-life since the last sample.
func (a *average) trust(now time.Time, halfLife time.Duration) float64 {
	if !a.known() {
		return 0
	}
	age := now.Sub(a.last)
	if age <= halfLife/8 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
