// Package admission decides whether a request that can't be dispatched immediately may
// wait in the instance's queue, from its deadline and the predicted wait and run time.
// Policies are plug-ins registered with package kernel under "admission.<name>".
package admission

import (
	"time"

	"limpethub/internal/kernel"
)

// Query describes a request that would have to wait.
type Query struct {
	// Now is the time of the decision.
	Now time.Time
	// Deadline is when the whole answer must have been delivered.
	Deadline time.Time
	// Wait is the predicted time until a server can start the request.
	Wait time.Duration
	// ServiceTime is the predicted duration of the request on the best server, without the wait.
	ServiceTime time.Duration
	// FirstEventBy is when the caller leaves if no event has arrived; zero if it waits until
	// Deadline. FirstEventTime is the part of ServiceTime until the first event.
	FirstEventBy   time.Time
	FirstEventTime time.Duration
}

// Answer says whether the request may wait.
type Answer struct {
	// Admit is true if the request may wait.
	Admit bool
	// RetryAfter is how long the caller of a refused request should wait before it sends
	// the request again. Zero for an admitted request.
	RetryAfter time.Duration
}

// Policy admits or refuses requests that would have to wait.
type Policy interface {
	Admit(q Query) Answer
}

// Names under which the admission policies are registered.
const (
	// PolicyDeadline refuses requests that are predicted to miss their deadline.
	PolicyDeadline = "admission.deadline"
	// PolicyNone admits every request.
	PolicyNone = "admission.none"
)

func init() {
	kernel.Register(kernel.Module{Name: PolicyDeadline, New: func() any { return deadline{} }})
	kernel.Register(kernel.Module{Name: PolicyNone, New: func() any { return none{} }})
}

type deadline struct{}

var _ Policy = deadline{}

// Admit implements Policy. A refused caller is told to come back after the predicted
// overrun of the deadline, or of the time until which it waits for the first event.
//
// The load is a burst that fills the queue with more work than the servers do in the time that
// callers wait for a first event. Without the second condition they would all wait in vain, as
// the deadline of a long answer lies far behind it.
func (deadline) Admit(q Query) Answer {
	late := q.Now.Add(q.Wait + q.ServiceTime).Sub(q.Deadline)
	if !q.FirstEventBy.IsZero() {
		late = max(late, q.Now.Add(q.Wait+q.FirstEventTime).Sub(q.FirstEventBy))
	}
	if late <= 0 {
		return Answer{Admit: true}
	}
	return Answer{RetryAfter: late}
}

type none struct{}

var _ Policy = none{}

func (none) Admit(Query) Answer { return Answer{Admit: true} }
