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
	if origin.Instance == r.options.Instance && !r.remembers(origin) {
		return duplicate(verdict.MayHaveRun, "this instance may have forgotten the earlier attempt")
	}
	e = r.add(now, id, running)
	if e == nil {
		return full(origin)
	}
	e.repeated = origin.Instance != ""
	if origin.Instance == "" || origin.Instance == r.options.Instance {
		return Step{Action: Run}
	}
	return r.ask(id, e, origin)
}

func (r *Registry) beginKnown(now time.Time, id request.ID, e *entry, origin Origin) Step {
	e.repeated = e.repeated || origin.Instance != ""
	e.last = now
	switch {
	case e.state == running || e.state == asking:
		return duplicate(verdict.MayHaveRun, "an attempt with this ID is in progress")
	case e.state == barred:
		return r.askHolder(id, e, origin)
	case e.verdict != verdict.NotRun:
		return duplicate(e.verdict, "an attempt with this ID has ended")
	case origin.Instance != "" && origin.Instance != r.options.Instance:
		// What is known here says nothing of an attempt elsewhere.
		return r.ask(id, e, origin)
	case e.repeated:
		return duplicate(verdict.NotRun, "this ID ended without a run; send the request under a new ID")
	}
	// The caller heard NotRun for each attempt so far, or it would have named one.
	e.state = running
	return Step{Action: Run}
}

// askHolder asks the instance for which the request was barred here. A repeat that
// names yet another one is turned away, since both would have to be asked.
func (r *Registry) askHolder(id request.ID, e *entry, origin Origin) Step {
	named := origin.Instance
	if named != "" && named != r.options.Instance && named != e.holder.Instance {
		return duplicate(verdict.MayHaveRun, "another instance took this ID over; send the request under a new ID")
	}
	holder := e.holder
	holder.Age, holder.AgeKnown = origin.Age, origin.AgeKnown
	return r.ask(id, e, holder)
}

func (r *Registry) ask(id request.ID, e *entry, origin Origin) Step {
	e.state = asking
	e.hops = 1
	e.origin = origin
	return r.askNext(id, e, origin)
}

func (r *Registry) askNext(id request.ID, e *entry, origin Origin) Step {
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
	e.last = now
}

func duplicate(v verdict.Verdict, why string) Step {
	return Step{Action: Duplicate, Err: &verdict.Error{Verdict: v, Code: verdict.CodeDuplicate, Message: why}}
}

// comeBack is when a request that found the registry full may be tried again.
const comeBack = 5 * time.Second

// full refuses a request that can't be remembered. Of a repeat it says nothing: the
// earlier attempt may run yet.
func full(origin Origin) Step {
	err := verdict.Refused(verdict.CodeQueueFull, "too many non-idempotent requests are remembered")
	err.RetryAfter = comeBack
	if origin.Instance != "" {
		err.Verdict = verdict.MayHaveRun
	}
	return Step{Action: Duplicate, Err: err}
}
