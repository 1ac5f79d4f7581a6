package residency

import (
	"math"
	"time"

	"limpethub/internal/modelref"
)

const (
	// demandTimeConstant is the time constant with which Need.Load follows the requests, up and
	// down. heldDemandTimeConstant is the one with which Need.HeldLoad falls.
	demandTimeConstant     = 700 * time.Millisecond
	heldDemandTimeConstant = 4 * time.Second
	// forgetAfter is how long the need of a version without requests is kept.
	forgetAfter = 10 * time.Minute
)

// RequestCounts counts the requests for a version at one moment. Running requests are being
// answered by a server. Unstarted requests are those that servers can take but haven't begun to
// answer: dispatched, waiting and recently refused ones. Waiting requests are waiting or recently
// refused and have no copy to run on. scheduling.RefLoad counts them for one instance.
//
// PrefillTime is the predicted time to prefill the prompts of Unstarted and Waiting on one server.
type RequestCounts struct {
	Running, Unstarted, Waiting int
	PrefillTime                 time.Duration
}

const (
	// requestsPerCopy is the number of requests that fill a copy once they run.
	requestsPerCopy = 20.0
	// prefillPerCopy is the prefill time that fills a copy besides. A server does the prefill of
	// one request after the other, and all its other requests wait meanwhile.
	prefillPerCopy = 400 * time.Millisecond
)

// copies returns how many copies the requests would fill.
//
// The load is a burst of short prompts. If each waiting request counted as if its prompt were
// long, a queue of a second would demand all copies of the pool, and models in use would evict
// each other's copies, each of which is out of use until its last stream has ended.
func (r RequestCounts) copies() float64 {
	requests := float64(r.Running+r.Unstarted+r.Waiting) / requestsPerCopy
	return requests + r.PrefillTime.Seconds()/prefillPerCopy.Seconds()
}

// NeedTracker averages request counts into needs. Demand can move to other models within
// seconds, so it reacts quickly to waiting requests, but it lowers the need for copies slowly.
// It isn't safe for concurrent use.
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
	currentWeight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	heldDecay := math.Exp(-elapsed.Seconds() / heldDemandTimeConstant.Seconds())
	for ref, need := range t.needs {
		current := counts[ref]
		count := current.Running + current.Unstarted + current.Waiting
		need.Load += currentWeight * (current.copies() - need.Load)
		need.HeldLoad = max(need.Load, need.HeldLoad*heldDecay)
		need.Waiting = current.Waiting
		if count > 0 {
			need.LastUsed = now
		}
		switch {
		case current.Running > 0, current.Unstarted > 0 && current.Waiting == 0:
			// Requests with an answer in one piece never count as running. One that no other waits beside has a copy to run on.
			need.UnservedSince = time.Time{}
		case current.Waiting > 0 && need.UnservedSince.IsZero():
			need.UnservedSince = now
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
