package residency

import (
	"math"
	"time"

	"limpethub/internal/modelref"
)

const (
	// riseTime is the time constant by which the load of a model follows its requests,
	// and fallTime the one by which a past load is forgotten.
	riseTime = 700 * time.Millisecond
	fallTime = 8 * time.Second
	// forgetAfter is how long a version that nobody asks for is remembered.
	forgetAfter = 10 * time.Minute
)

// Gauge is how many requests for a version run and wait at one moment.
type Gauge struct {
	Running, Waiting int
}

// Tracker averages gauges into needs. It answers demand that moves to other models
// within seconds: quick to see requests that wait, slow to give up copies. It isn't
// safe for concurrent use.
type Tracker struct {
	needs map[modelref.Ref]*Need
	last  time.Time
}

// NewTracker makes a tracker without any needs.
func NewTracker() *Tracker { return &Tracker{needs: map[modelref.Ref]*Need{}} }

// Update moves the averages on to now with what all instances have.
func (t *Tracker) Update(now time.Time, gauges map[modelref.Ref]Gauge) {
	elapsed := now.Sub(t.last)
	t.last = now
	for ref := range gauges {
		if t.needs[ref] == nil {
			t.needs[ref] = &Need{}
		}
	}
	rise := 1 - math.Exp(-elapsed.Seconds()/riseTime.Seconds())
	keep := math.Exp(-elapsed.Seconds() / fallTime.Seconds())
	for ref, need := range t.needs {
		gauge := gauges[ref]
		count := gauge.Running + gauge.Waiting
		need.Load += rise * (float64(count) - need.Load)
		need.Held = max(need.Load, need.Held*keep)
		need.Waiting = gauge.Waiting
		if count > 0 {
			need.LastUsed = now
		}
		if now.Sub(need.LastUsed) > forgetAfter {
			delete(t.needs, ref)
		}
	}
}

// Needs returns a copy of what is known.
func (t *Tracker) Needs() map[modelref.Ref]Need {
	out := make(map[modelref.Ref]Need, len(t.needs))
	for ref, need := range t.needs {
		out[ref] = *need
	}
	return out
}
