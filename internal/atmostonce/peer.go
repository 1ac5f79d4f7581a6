package atmostonce

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// Question asks an instance what became of an attempt, and to bar the request if it
// didn't run.
type Question struct {
	ID request.ID
	// Origin describes the earlier attempt.
	Origin Origin
	// Asker is the instance that will run the request if it is told NotRun.
	Asker Origin
}

// Finding is what an instance knows of a request.
type Finding uint8

// Findings. CannotTell is also that of a peer that didn't answer.
const (
	// CannotTell means that the request may have run there.
	CannotTell Finding = iota
	// NotRun means that it never came there and won't run there: the asker has it now.
	NotRun
	// InProgress means that it is waiting or running there.
	InProgress
	// Ended means that it ended there with Answer.Verdict.
	Ended
	// Passed means that another instance, Answer.Holder, took it before.
	Passed
)

// Answer is an instance's answer to a Question.
type Answer struct {
	Finding Finding
	Verdict verdict.Verdict
	Holder  Origin
}

// Bar answers a peer's question. At most one asker is ever told NotRun.
func (r *Registry) Bar(now time.Time, q Question) Answer {
	r.expire(now)
	e := r.entries[q.ID]
	if e == nil {
		return r.barUnknown(now, q)
	}
	// The answer holds for attempts that arrive later, so it must be kept as long.
	e.repeated = true
	e.last = now
	switch e.state {
	case running, asking:
		return Answer{Finding: InProgress}
	case barred:
		return Answer{Finding: Passed, Holder: e.holder}
	}
	return Answer{Finding: Ended, Verdict: e.verdict}
}

func (r *Registry) barUnknown(now time.Time, q Question) Answer {
	if !r.remembers(q.Origin) {
		return Answer{Finding: CannotTell}
	}
	e := r.add(now, q.ID, barred)
	if e == nil {
		return Answer{Finding: CannotTell}
	}
	e.holder = q.Asker
	e.repeated = true
	return Answer{Finding: NotRun}
}

// PeerAnswer takes the answer to the question of an AskPeer step; a peer that gave
// none in time counts as CannotTell.
func (r *Registry) PeerAnswer(now time.Time, id request.ID, a Answer) Step {
	e := r.entries[id]
	if e == nil || e.state != asking {
		return duplicate(verdict.MayHaveRun, "the question about this request was given up")
	}
	switch a.Finding {
	case NotRun:
		e.state = running
		e.last = now
		return Step{Action: Run}
	case Passed:
		if step, ok := r.follow(id, e, a.Holder); ok {
			return step
		}
	case Ended:
		return r.conclude(now, id, e, a.Verdict)
	}
	return r.conclude(now, id, e, verdict.MayHaveRun)
}

// follow asks the instance that took the request next.
func (r *Registry) follow(id request.ID, e *entry, holder Origin) (Step, bool) {
	if e.hops >= maxHops || holder.Instance == "" || holder.Instance == r.options.Instance {
		return Step{}, false
	}
	e.hops++
	holder.Age, holder.AgeKnown = e.origin.Age, e.origin.AgeKnown
	return r.askNext(id, e, holder), true
}

// conclude ends a repeat that must not run here.
func (r *Registry) conclude(now time.Time, id request.ID, e *entry, v verdict.Verdict) Step {
	e.state = ended
	e.verdict = v
	e.last = now
	if e.holder.Instance != "" && v != verdict.Ran {
		e.state = barred
	}
	return duplicate(v, "an earlier attempt went to another instance")
}
