// Package predict learns from answers and reports how fast servers run models, adapters and
// services, and predicts how long a request will take on a server.
package predict

import (
	"math"
	"time"
)

// smoothing is the weight of a new sample in an average.
const smoothing = 0.2

// average is an exponentially weighted mean of samples and of their absolute deviation.
type average struct {
	mean       float64
	deviation  float64
	samples    int
	lastSample time.Time
}

// add adds a sample that was taken at now.
func (a *average) add(now time.Time, sample float64) {
	a.lastSample = now
	a.samples++
	if a.samples == 1 {
		a.mean = sample
		return
	}
	// The first samples weigh more, so that an unusual first one is soon outweighed.
	weight := max(smoothing, 1/float64(a.samples))
	a.deviation += weight * (math.Abs(sample-a.mean) - a.deviation)
	a.mean += weight * (sample - a.mean)
}

func (a *average) known() bool { return a.samples > 0 }

// weight returns how much the average counts at now against a more general estimate, from
// 0 to 1. It halves with each half-life since the last sample, and stays at 1 for the first
// eighth of a half-life.
func (a *average) weight(now time.Time, halfLife time.Duration) float64 {
	if !a.known() {
		return 0
	}
	age := now.Sub(a.lastSample)
	if age <= halfLife/8 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
