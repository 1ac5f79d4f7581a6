package residency

import (
	"math"
	"time"

	"limpethub/internal/modelref"
)

const (
	// riseTime is the time constant with which a model's load follows its requests; fallTime
	// is the one with which a past load decays.
	riseTime = 700 * time.Millisecond
	fallTime = 4 * time.Second
	// forgetAfter is how long a version without requests is remembered.
	forgetAfter = 10 * time.Minute
)

// Gauge counts the requests for a version at one moment: Running are being answered by a
// server, Unbegun are on a server that hasn't started to answer them, and Waiting have no
// copy to run on.
type Gauge struct {
	Running, Unstarted, Waiting int
}

const (
	// runningPerCopy is the number of running requests that fill a copy. unstartedPerCopy is
	// the number of requests that fill it while their prompts are still to be read. It is much
	// smaller because a server reads prompts one after the other and all its other requests
	// wait meanwhile.
	runningPerCopy   = 20.0
	unstartedPerCopy = 1.5
)

// copies returns how many copies the requests would fill.
func (g Gauge) copies() float64 {
	return float64(g.Running)/runningPerCopy + float64(g.Unstarted+g.Waiting)/unstartedPerCopy
}

// Tracker averages gauges into needs. Demand can move to other models within seconds, so it
// reacts quickly to waiting requests, and it lowers the need for copies slowly. It isn't
// safe for concurrent use.
type Tracker struct {
	needs map[modelref.Ref]*Need
	last  time.Time
}

func NewTracker() *Tracker { return &Tracker{needs: map[modelref.Ref]*Need{}} }

// Update advances the averages to now with the gauges summed over all instances.
func (t *Tracker) Update(now time.Time, gauges map[modelref.Ref]Gauge) {
	elapsed := now.Sub(t.last)
	t.last = now
	for ref := range gauges {
		if t.needs[ref] == nil {
			t.needs[ref] = &Need{}
		}
	}
	riseWeight := 1 - math.Exp(-elapsed.Seconds()/riseTime.Seconds())
	heldDecay := math.Exp(-elapsed.Seconds() / fallTime.Seconds())
	for ref, need := range t.needs {
		gauge := gauges[ref]
		count := gauge.Running + gauge.Unstarted + gauge.Waiting
		need.Load += riseWeight * (gauge.copies() - need.Load)
		need.Held = max(need.Load, need.Held*heldDecay)
		need.Waiting = gauge.Waiting
		if count > 0 {
			need.LastUsed = now
		}
		if now.Sub(need.LastUsed) > forgetAfter {
			delete(t.needs, ref)
		}
	}
}

// Needs returns a copy of the current needs.
func (t *Tracker) Needs() map[modelref.Ref]Need {
	out := make(map[modelref.Ref]Need, len(t.needs))
	for ref, need := range t.needs {
		out[ref] = *need
	}
	return out
}
