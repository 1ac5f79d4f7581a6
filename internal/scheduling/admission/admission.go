// Package admission decides whether a request that can't be dispatched at once may
// wait. Policies are plug-ins registered with the kernel under "admission.<name>".
package admission

import (
	"time"

	"limpethub/internal/kernel"
)

// Query is a request that would have to wait.
type Query struct {
	// Now is the time of the decision.
	Now time.Time
	// Deadline is when the whole answer must have been delivered.
	Deadline time.Time
	// Wait is the predicted wait behind work of the same and more urgent classes.
	Wait time.Duration
	// Service is the predicted duration on the best server, without a wait.
	Service time.Duration
}

// Answer says whether the request may wait.
type Answer struct {
	// Admit is true when it may.
	Admit bool
	// RetryAfter is, for a refusal, when asking again may help.
	RetryAfter time.Duration
}

// Policy admits or refuses waiting work.
type Policy interface {
	Admit(q Query) Answer
}

// Names of the admission policies.
const (
	// PolicyDeadline refuses what can't finish in time.
	PolicyDeadline = "admission.deadline"
	// PolicyNone refuses nothing.
	PolicyNone = "admission.none"
)

func init() {
	kernel.Register(kernel.Module{Name: PolicyDeadline, New: func() any { return deadline{} }})
	kernel.Register(kernel.Module{Name: PolicyNone, New: func() any { return none{} }})
}

type deadline struct{}

var _ Policy = deadline{}

// Admit implements Policy.
func (deadline) Admit(q Query) Answer {
	late := q.Now.Add(q.Wait + q.Service).Sub(q.Deadline)
	if late <= 0 {
		return Answer{Admit: true}
	}
	return Answer{RetryAfter: late}
}

type none struct{}

var _ Policy = none{}

// Admit implements Policy.
func (none) Admit(Query) Answer { return Answer{Admit: true} }
