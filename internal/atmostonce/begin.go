package atmostonce

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// Action says what to do with an attempt.
type Action uint8

// Actions.
const (
	// Run means that the attempt may be scheduled; End must follow.
	Run Action = iota + 1
	// Duplicate means that the attempt must not run: answer with Step.Err.
	Duplicate
	// AskPeer means: send Step.Question to Step.Peer and call PeerAnswer.
	AskPeer
)

// Step is what to do next about an attempt.
type Step struct {
	Action Action
	// Peer is the instance to ask, for AskPeer.
	Peer string
	// Question is what to ask it.
	Question Question
	// Err is the answer to the caller, for Duplicate.
	Err *verdict.Error
}

// Begin takes an attempt of a non-idempotent request. The origin is empty unless the
// caller says that it repeats one.
func (r *Registry) Begin(now time.Time, id request.ID, origin Origin) Step {
	r.expire(now)
	e := r.entries[id]
	if e != nil {
		return r.beginKnown(now, id, e, origin)
	}
	if origin.Instance == r.options.Instance && !r.remembers(now, origin) {
		return duplicate(verdict.MayHaveRun, "this instance may have forgotten the earlier attempt")
	}
	if origin.Instance == "" || origin.Instance == r.options.Instance {
		return r.run(now, id)
	}
	e = r.add(now, id, asking)
	if e == nil {
		return full()
	}
	return r.ask(id, e, origin)
}

func (r *Registry) beginKnown(now time.Time, id request.ID, e *entry, origin Origin) Step {
	switch {
	case e.state == running || e.state == asking:
		return duplicate(verdict.MayHaveRun, "an attempt with this ID is in progress")
	case e.state == barred:
		e.state = asking
		r.touch(now, id, e)
		holder := e.holder
		holder.Age, holder.AgeKnown = origin.Age, origin.AgeKnown
		return r.ask(id, e, holder)
	case e.verdict != verdict.NotRun:
		return duplicate(e.verdict, "an attempt with this ID has ended")
	case origin.Instance != "" && origin.Instance != r.options.Instance:
		e.state = asking
		r.touch(now, id, e)
		return r.ask(id, e, origin)
	default:
		e.state = running
		r.touch(now, id, e)
		return Step{Action: Run}
	}
}

func (r *Registry) run(now time.Time, id request.ID) Step {
	if r.add(now, id, running) == nil {
		return full()
	}
	return Step{Action: Run}
}

func (r *Registry) ask(id request.ID, e *entry, origin Origin) Step {
	e.hops = 1
	e.origin = origin
	return r.askNext(id, e, origin)
}

func (r *Registry) askNext(id request.ID, e *entry, origin Origin) Step {
	e.holder = origin
	return Step{Action: AskPeer, Peer: origin.Instance, Question: Question{
		ID: id, Origin: origin,
		Asker: Origin{Instance: r.options.Instance, Incarnation: r.options.Incarnation},
	}}
}

// End notes how a request that was told to Run ended.
func (r *Registry) End(now time.Time, id request.ID, v verdict.Verdict) {
	e := r.entries[id]
	if e == nil || e.state != running {
		return
	}
	e.state = ended
	e.verdict = v
	r.touch(now, id, e)
}

func duplicate(v verdict.Verdict, why string) Step {
	return Step{Action: Duplicate, Err: &verdict.Error{Verdict: v, Code: verdict.CodeDuplicate, Message: why}}
}

// comeBack is when a request that found the registry full may be tried again.
const comeBack = 5 * time.Second

func full() Step {
	err := verdict.Refused(verdict.CodeQueueFull, "too many non-idempotent requests are remembered")
	err.RetryAfter = comeBack
	return Step{Action: Duplicate, Err: err}
}
