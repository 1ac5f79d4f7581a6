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

// Phases of a request in the oracle.
const (
	phaseNew = iota
	phaseWaiting
	phaseRunning
	phaseFailed
	phaseEnded
)

// tracked is what the oracle knows of one request.
type tracked struct {
	request.Request
	phase  int
	server string
	// unclear is true once an attempt may have run.
	unclear bool
}

// told is what the scheduler was told of a server.
type told struct {
	Server
	listed, unreachable, reportLeaving bool
	// refusedLeaving is until when a refusal as leaving counts.
	refusedLeaving time.Time
	resident       []modelref.Ref
	// refusedTarget is until when a request for one target was refused here.
	refusedTarget map[modelref.Ref]time.Time
}

// oracle checks each decision against the promises about requests.
type oracle struct {
	document   *site.Document
	requests   map[request.ID]*tracked
	order      []*tracked
	servers    map[string]*told
	overtakes  []int
	dispatches []int
}

func newOracle(document *site.Document) *oracle {
	n := len(document.Classes)
	return &oracle{
		document: document, requests: map[request.ID]*tracked{}, servers: map[string]*told{},
		overtakes: make([]int, n), dispatches: make([]int, n),
	}
}

// canTake reports whether a server that was so described may get the request.
func (o *oracle) canTake(now time.Time, s *told, r *tracked) bool {
	if s == nil || !s.listed || s.unreachable || s.Leaving || s.reportLeaving || now.Before(s.refusedLeaving) {
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

// apply checks decisions in order.
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
	return o.checkBounds()
}

func (o *oracle) applyOne(now time.Time, r *tracked, d Decision) error {
	if r.phase != phaseNew && r.phase != phaseWaiting && r.phase != phaseFailed {
		return fmt.Errorf("action %d after it was decided", d.Action)
	}
	switch d.Action {
	case Queue:
		if r.phase == phaseWaiting {
			return fmt.Errorf("queued twice")
		}
		r.phase = phaseWaiting
		return nil
	case Refuse:
		r.phase = phaseEnded
		if d.Err.Verdict == verdict.NotRun && r.unclear {
			return fmt.Errorf("refused as not run after it may have run")
		}
		if d.Err.Verdict != verdict.NotRun && !r.unclear {
			return fmt.Errorf("refused as %v although it never ran", d.Err.Verdict)
		}
		return nil
	case Dispatch:
		return o.dispatch(now, r, d)
	}
	return fmt.Errorf("unknown action %d", d.Action)
}

func (o *oracle) dispatch(now time.Time, r *tracked, d Decision) error {
	if r.unclear && !r.Idempotent {
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

// checkOrder checks that no more urgent request that the same server could take
// still waits, except for the floor of the class. Requests with little time left are
// left out, since the server may be too slow for them.
func (o *oracle) checkOrder(now time.Time, r *tracked, s *told) error {
	var overtaken *tracked
	for _, other := range o.order {
		if other.phase != phaseWaiting || other == r || other.Deadline.Sub(now) < plenty {
			continue
		}
		if !o.canTake(now, s, other) || now.Before(s.refusedTarget[other.Model]) {
			continue
		}
		if other.Class == r.Class && other.Deadline.Before(r.Deadline) {
			return fmt.Errorf("went before %s of its class, which has the earlier deadline", other.ID)
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
		return fmt.Errorf("went before the more urgent %s beyond its floor", overtaken.ID)
	}
	return nil
}

func (o *oracle) checkBounds() error {
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

// checkTick checks that nothing waits beyond its deadline after a tick, and that
// the next tick comes in time.
func (o *oracle) checkTick(now, next time.Time) error {
	for _, r := range o.order {
		if r.phase != phaseWaiting {
			continue
		}
		if !now.Before(r.Deadline) {
			return fmt.Errorf("request %s waits beyond its deadline", r.ID)
		}
		if next.IsZero() || next.After(r.Deadline) {
			return fmt.Errorf("next tick %v is after the deadline of %s", next, r.ID)
		}
	}
	return nil
}
