package scheduling

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one request in a server's failure rate.
	failureWeight = 0.2
	// failureHalfLife is the time in which a failure rate halves without requests, so that a
	// server that recovered gets requests again.
	failureHalfLife = 4 * time.Second
)

// failureRate is the share of a server's recent requests that failed, from 0 to 1.
//
// The load is a server that fails some of its requests and serves the others. A back-off after
// each failure doesn't keep requests away from it, since every success ends the back-off.
type failureRate struct {
	value     float64
	updatedAt time.Time
}

func (f *failureRate) observe(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	current := f.at(now)
	f.value, f.updatedAt = current+failureWeight*(sample-current), now
}

// at returns the rate at now.
func (f *failureRate) at(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp2(-now.Sub(f.updatedAt).Seconds()/failureHalfLife.Seconds())
}
