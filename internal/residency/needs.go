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
	fallTime = 4 * time.Second
	// forgetAfter is how long a version that nobody asks for is remembered.
	forgetAfter = 10 * time.Minute
)

// Gauge counts the requests for a version at one moment: those that a server answers,
// those that one hasn't begun to answer, and those that wait for lack of a copy.
type Gauge struct {
	Running, Unbegun, Waiting int
}

const (
	// runningPerCopy is how many requests in progress fill a copy, and unbegunPerCopy how
	// many whose prompt is still to be read: a server reads prompts one after the other,
	// and all other requests on it wait meanwhile.
	runningPerCopy = 20.0
	unbegunPerCopy = 1.5
)

// copies is how many copies the requests would fill.
func (g Gauge) copies() float64 {
	return float64(g.Running)/runningPerCopy + float64(g.Unbegun+g.Waiting)/unbegunPerCopy
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
		count := gauge.Running + gauge.Unbegun + gauge.Waiting
		need.Load += rise * (gauge.copies() - need.Load)
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
