package scheduling

import (
	"fmt"
	"slices"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/request"
	"limpethub/internal/site"
	"limpethub/internal/verdict"
)

// Phases of a request, as the oracle tracks them. phaseFailed means that an attempt failed and
// the retry isn't decided yet; phaseEnded that the request was answered, refused or canceled.
const (
	phaseNew = iota
	phaseWaiting
	phaseRunning
	phaseFailed
	phaseEnded
)

// trackedRequest is what the oracle knows of one request.
type trackedRequest struct {
	request.Request
	phase  int
	server string
	// mayHaveRun is true once an attempt may have run.
	mayHaveRun bool
}

// serverState is the state of a server as it was reported to the scheduler.
type serverState struct {
	Server
	listed, unreachable, reportLeaving bool
	// leavingUntil is when a refusal because the server is leaving stops counting.
	leavingUntil time.Time
	resident     []modelref.Ref
	// backoffUntil is when the server may get requests for a model again after it refused one.
	backoffUntil map[modelref.Ref]time.Time
}

// oracle checks each decision against the guarantees for requests.
type oracle struct {
	document *site.Document
	requests map[request.ID]*trackedRequest
	order    []*trackedRequest
	servers  map[string]*serverState
	// overtakes counts, per class, the dispatches before a more urgent waiting request that the
	// same server could take. dispatches counts all dispatches; it has the same value for every
	// class.
	overtakes  []int
	dispatches []int
}

func newOracle(document *site.Document) *oracle {
	n := len(document.Classes)
	return &oracle{
		document: document, requests: map[request.ID]*trackedRequest{}, servers: map[string]*serverState{},
		overtakes: make([]int, n), dispatches: make([]int, n),
	}
}

// canTake reports whether a server in this state may get the request.
func (o *oracle) canTake(now time.Time, s *serverState, r *trackedRequest) bool {
	if s == nil || !s.listed || s.unreachable || s.Leaving || s.reportLeaving || now.Before(s.leavingUntil) {
		return false
	}
	if r.Service != "" {
		return slices.Contains(s.Services, r.Service)
	}
	if !slices.Contains(s.resident, r.Model) {
		return false
	}
	for _, a := range o.document.Adapters {
		if a.Ref() == r.Model && !slices.Contains(s.resident, a.Base) {
			return false
		}
	}
	return true
}

// apply checks the decisions in order and updates the phases of their requests.
func (o *oracle) apply(now time.Time, decisions []Decision) error {
	for _, d := range decisions {
		r := o.requests[d.ID]
		if r == nil {
			return fmt.Errorf("decision about unknown request %s", d.ID)
		}
		if err := o.applyOne(now, r, d); err != nil {
			return fmt.Errorf("request %s (class %d, phase %d): %w", d.ID, r.Class, r.phase, err)
		}
	}
	return o.checkQueueLimits()
}

func (o *oracle) applyOne(now time.Time, r *trackedRequest, d Decision) error {
	if r.phase != phaseNew && r.phase != phaseWaiting && r.phase != phaseFailed {
		return fmt.Errorf("action %d after the request was dispatched, refused or canceled", d.Action)
	}
	switch d.Action {
	case Queue:
		if r.phase == phaseWaiting {
			return fmt.Errorf("queued although the request already waits")
		}
		r.phase = phaseWaiting
		return nil
	case Refuse:
		r.phase = phaseEnded
		if d.Err.Verdict == verdict.NotRun && r.mayHaveRun {
			return fmt.Errorf("refused as not run although it may have run")
		}
		if d.Err.Verdict != verdict.NotRun && !r.mayHaveRun {
			return fmt.Errorf("refused as %v although it has never run", d.Err.Verdict)
		}
		return nil
	case Dispatch:
		return o.dispatch(now, r, d)
	}
	return fmt.Errorf("unknown action %d", d.Action)
}

func (o *oracle) dispatch(now time.Time, r *trackedRequest, d Decision) error {
	if r.mayHaveRun && !r.Idempotent {
		return fmt.Errorf("non-idempotent request dispatched again")
	}
	if !now.Before(r.Deadline) {
		return fmt.Errorf("dispatched after its deadline")
	}
	s := o.servers[d.Server]
	if !o.canTake(now, s, r) {
		return fmt.Errorf("dispatched to %s, which can't take it: %+v", d.Server, s)
	}
	if err := o.checkOrder(now, r, s); err != nil {
		return err
	}
	r.phase = phaseRunning
	r.server = d.Server
	return nil
}

// checkOrder checks that no more urgent request is waiting that the same server could take,
// unless the floor of the dispatched request's class allows it. Requests with little time
// left are ignored, since the server may be too slow for them.
func (o *oracle) checkOrder(now time.Time, r *trackedRequest, s *serverState) error {
	var overtaken *trackedRequest
	for _, other := range o.order {
		if other.phase != phaseWaiting || other == r || other.Deadline.Sub(now) < ampleTime {
			continue
		}
		if !o.canTake(now, s, other) || now.Before(s.backoffUntil[other.Model]) {
			continue
		}
		if other.Class == r.Class && other.Deadline.Before(r.Deadline) && o.orderedByDeadline(r, other) {
			return fmt.Errorf("dispatched before %s of its class, which has an earlier deadline", other.ID)
		}
		if other.Class < r.Class {
			overtaken = other
		}
	}
	for class := range o.dispatches {
		o.dispatches[class]++
	}
	if overtaken == nil {
		return nil
	}
	o.overtakes[r.Class]++
	allowed := o.document.Classes[r.Class].FloorShare * float64(o.dispatches[r.Class])
	if float64(o.overtakes[r.Class]) > allowed {
		return fmt.Errorf("dispatched before the more urgent %s more often than the floor of its own class allows", overtaken.ID)
	}
	return nil
}

// orderedByDeadline reports whether two requests of a class go in the order of their deadlines: all of
// a deployment without workspaces, else those of one workspace for one target.
func (o *oracle) orderedByDeadline(a, b *trackedRequest) bool {
	if !o.document.RequireKeys {
		return true
	}
	return a.Workspace == b.Workspace && a.Model == b.Model && a.Service == b.Service
}

// checkQueueLimits checks that no class has more waiting requests than its limit.
func (o *oracle) checkQueueLimits() error {
	for class, c := range o.document.Classes {
		n := 0
		for _, r := range o.order {
			if r.phase == phaseWaiting && r.Class == class {
				n++
			}
		}
		if n > c.QueueLimit {
			return fmt.Errorf("%d requests of class %d wait, limit %d", n, class, c.QueueLimit)
		}
	}
	return nil
}

// checkTick checks after a tick that no request waits past its deadline, and that the next tick
// comes no later than the first deadline.
func (o *oracle) checkTick(now, next time.Time) error {
	for _, r := range o.order {
		if r.phase != phaseWaiting {
			continue
		}
		if !now.Before(r.Deadline) {
			return fmt.Errorf("request %s waits past its deadline", r.ID)
		}
		if next.IsZero() || next.After(r.Deadline) {
			return fmt.Errorf("next tick %v is after the deadline of %s", next, r.ID)
		}
	}
	return nil
}
