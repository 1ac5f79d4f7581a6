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

// RequestCounts counts the requests for a version at one moment: Running are being answered
// by a server, Unstarted are on a server that hasn't started to answer them, and Waiting have
// no copy to run on.
type RequestCounts struct {
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
func (g RequestCounts) copies() float64 {
	return float64(g.Running)/runningPerCopy + float64(g.Unstarted+g.Waiting)/unstartedPerCopy
}

// NeedTracker averages request counts into needs. Demand can move to other models within seconds, so it
// reacts quickly to waiting requests, and it lowers the need for copies slowly. It isn't
// safe for concurrent use.
type NeedTracker struct {
	needs map[modelref.Ref]*Need
	last  time.Time
}

func NewNeedTracker() *NeedTracker { return &NeedTracker{needs: map[modelref.Ref]*Need{}} }

// Update advances the averages to now with the request counts summed over all instances.
func (t *NeedTracker) Update(now time.Time, counts map[modelref.Ref]RequestCounts) {
	elapsed := now.Sub(t.last)
	t.last = now
	for ref := range counts {
		if t.needs[ref] == nil {
			t.needs[ref] = &Need{}
		}
	}
	riseWeight := 1 - math.Exp(-elapsed.Seconds()/riseTime.Seconds())
	heldDecay := math.Exp(-elapsed.Seconds() / fallTime.Seconds())
	for ref, need := range t.needs {
		current := counts[ref]
		count := current.Running + current.Unstarted + current.Waiting
		need.Load += riseWeight * (current.copies() - need.Load)
		need.HeldLoad = max(need.Load, need.HeldLoad*heldDecay)
		need.Waiting = current.Waiting
		if count > 0 {
			need.LastUsed = now
		}
		if now.Sub(need.LastUsed) > forgetAfter {
			delete(t.needs, ref)
		}
	}
}

// Needs returns a copy of the current needs.
func (t *NeedTracker) Needs() map[modelref.Ref]Need {
	out := make(map[modelref.Ref]Need, len(t.needs))
	for ref, need := range t.needs {
		out[ref] = *need
	}
	return out
}
