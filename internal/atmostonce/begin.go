package atmostonce

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// Action tells the caller of the registry what to do with an attempt.
type Action uint8

// Actions of a Step.
const (
	// Run means that the attempt may be scheduled. End must be called when it ends.
	Run Action = iota + 1
	// Duplicate means that the attempt must not run: answer the caller with Step.Err. It is used
	// for duplicates, and also for a request without a record if the registry is full.
	Duplicate
	// AskPeer means: send Step.Question to Step.Peer and pass its answer to PeerAnswer.
	AskPeer
)

// Step is the next action for an attempt.
type Step struct {
	Action Action
	// Peer is the instance to ask, set for AskPeer.
	Peer string
	// Question is the question for Peer, set for AskPeer.
	Question Question
	// Err is the answer to the caller, set for Duplicate.
	Err *verdict.Error
}

// Begin decides what to do with an attempt of a non-idempotent request, and records the
// request if it is new and not refused. The origin is empty unless the caller states that it
// repeats an earlier attempt.
func (r *Registry) Begin(now time.Time, id request.ID, origin Origin) Step {
	r.expire(now)
	e := r.entries[id]
	if e != nil {
		return r.beginKnown(now, id, e, origin)
	}
	if origin.Instance == r.options.Instance && !r.wouldRemember(origin) {
		return duplicate(verdict.MayHaveRun, "this instance may have forgotten the earlier attempt")
	}
	e = r.add(now, id, running)
	if e == nil {
		return refuseFull(origin)
	}
	e.repeated = origin.Instance != ""
	if origin.Instance == "" || origin.Instance == r.options.Instance {
		return Step{Action: Run}
	}
	return r.ask(id, e, origin)
}

func (r *Registry) beginKnown(now time.Time, id request.ID, e *entry, origin Origin) Step {
	e.repeated = e.repeated || origin.Instance != ""
	e.lastEvent = now
	switch {
	case e.state == running || e.state == asking:
		return duplicate(verdict.MayHaveRun, "an attempt with this ID is in progress")
	case e.state == barred:
		return r.askHolder(id, e, origin)
	case e.verdict != verdict.NotRun:
		return duplicate(e.verdict, "an attempt with this ID has ended")
	case origin.Instance != "" && origin.Instance != r.options.Instance:
		// The local record says nothing about an attempt on another instance.
		return r.ask(id, e, origin)
	case e.repeated:
		// An older attempt may still arrive, so no attempt with this ID may run any more.
		return duplicate(verdict.NotRun, "this ID ended without a run; send the request under a new ID")
	}
	// The request ended with NotRun, and none of its attempts named an earlier attempt. A
	// caller that doesn't know the outcome of an attempt must name it, so this caller was told
	// NotRun for all of them: the request may run now.
	e.state = running
	return Step{Action: Run}
}

// askHolder asks the instance that took the request when it was barred here. A repeat that
// names a third instance is refused, because the holder and the named instance would both
// have to be asked, and only one is asked at a time.
func (r *Registry) askHolder(id request.ID, e *entry, origin Origin) Step {
	named := origin.Instance
	if named != "" && named != r.options.Instance && named != e.holder.Instance {
		return duplicate(verdict.MayHaveRun, "another instance took this ID over; send the request under a new ID")
	}
	// The holder is asked with the age of the attempt that the caller named. The age is unknown
	// if the caller named none.
	holder := e.holder
	holder.Age, holder.AgeKnown = origin.Age, origin.AgeKnown
	return r.ask(id, e, holder)
}

func (r *Registry) ask(id request.ID, e *entry, origin Origin) Step {
	e.state = asking
	e.peersAsked = 1
	e.origin = origin
	return r.askStep(id, e, origin)
}

func (r *Registry) askStep(id request.ID, e *entry, origin Origin) Step {
	return Step{Action: AskPeer, Peer: origin.Instance, Question: Question{
		ID: id, Origin: origin,
		Asker: Origin{Instance: r.options.Instance, Incarnation: r.options.Incarnation},
	}}
}

// End records how a request that was given Run ended.
func (r *Registry) End(now time.Time, id request.ID, v verdict.Verdict) {
	e := r.entries[id]
	if e == nil || e.state != running {
		return
	}
	e.state = ended
	e.verdict = v
	e.lastEvent = now
}

func duplicate(v verdict.Verdict, message string) Step {
	return Step{Action: Duplicate, Err: &verdict.Error{Verdict: v, Code: verdict.CodeDuplicate, Message: message}}
}

// fullRetryAfter is the retry delay given to callers when the registry is full.
const fullRetryAfter = 5 * time.Second

// refuseFull refuses a request that the registry has no room to remember. For a repeat
// the verdict is MayHaveRun, because the earlier attempt may still run.
func refuseFull(origin Origin) Step {
	err := verdict.Refused(verdict.CodeQueueFull, "too many non-idempotent requests are remembered")
	err.RetryAfter = fullRetryAfter
	if origin.Instance != "" {
		err.Verdict = verdict.MayHaveRun
	}
	return Step{Action: Duplicate, Err: err}
}
