package atmostonce

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/verdict"
)

// Question asks an instance what became of an attempt. If the instance can prove that it
// never received the request, it must bar the request, so that it can't run there later.
type Question struct {
	ID request.ID
	// Origin identifies the earlier attempt.
	Origin Origin
	// Asker is the instance that will run the request if the finding is NeverReceived.
	Asker Origin
}

// Finding is what an instance knows about a request. It isn't a verdict: a request that
// ended without a run has the finding Ended and the verdict NotRun.
type Finding uint8

// Findings of an Answer. A peer that doesn't answer counts as CannotTell.
const (
	// CannotTell means that the request may have run there.
	CannotTell Finding = iota
	// NeverReceived means that the peer never received the request and has barred it: the asker
	// may run it.
	NeverReceived
	// InProgress means that the request is queued or running on the peer.
	InProgress
	// Ended means that the request ended on the peer with Answer.Verdict.
	Ended
	// TakenOver means that the peer barred the request earlier, because Answer.Holder asked
	// about it and was told NeverReceived.
	TakenOver
)

// Answer is an instance's answer to a Question.
type Answer struct {
	Finding Finding
	Verdict verdict.Verdict
	Holder  Origin
}

// AnswerPeer answers a peer's question. If there is no record of the request, and a missing
// record proves that it was never received, AnswerPeer bars the request. For each request at
// most one asker is told NeverReceived.
func (r *Registry) AnswerPeer(now time.Time, q Question) Answer {
	r.expire(now)
	e := r.entries[q.ID]
	if e == nil {
		return r.barUnknown(now, q)
	}
	// The answer must also hold for attempts that arrive later, so the entry's retention
	// starts again.
	e.repeated = true
	e.lastEvent = now
	switch e.state {
	case running, asking:
		return Answer{Finding: InProgress}
	case barred:
		return Answer{Finding: TakenOver, Holder: e.holder}
	}
	return Answer{Finding: Ended, Verdict: e.verdict}
}

func (r *Registry) barUnknown(now time.Time, q Question) Answer {
	if !r.wouldRemember(q.Origin) {
		return Answer{Finding: CannotTell}
	}
	e := r.add(now, q.ID, barred)
	if e == nil {
		return Answer{Finding: CannotTell}
	}
	e.holder = q.Asker
	e.repeated = true
	return Answer{Finding: NeverReceived}
}

// PeerAnswer continues an attempt after an AskPeer step. The answer of a peer that didn't
// answer in time is the zero Answer, which is CannotTell.
func (r *Registry) PeerAnswer(now time.Time, id request.ID, a Answer) Step {
	e := r.entries[id]
	if e == nil || e.state != asking {
		return duplicate(verdict.MayHaveRun, "the question about this request was given up")
	}
	switch a.Finding {
	case NeverReceived:
		e.state = running
		e.lastEvent = now
		return Step{Action: Run}
	case TakenOver:
		if step, ok := r.askNextHolder(id, e, a.Holder); ok {
			return step
		}
	case Ended:
		return r.endRepeat(now, id, e, a.Verdict)
	}
	// The request may have run: the finding is InProgress or CannotTell, or the next holder
	// can't be asked.
	return r.endRepeat(now, id, e, verdict.MayHaveRun)
}

// askNextHolder asks the instance that the last asked peer named as the holder: the one to
// which that peer answered NeverReceived. The age in the question is the one in the first
// question about the attempt. It returns false if the holder can't be asked or maxPeersAsked
// is reached.
func (r *Registry) askNextHolder(id request.ID, e *entry, holder Origin) (Step, bool) {
	if e.peersAsked >= maxPeersAsked || holder.Instance == "" || holder.Instance == r.options.Instance {
		return Step{}, false
	}
	e.peersAsked++
	holder.Age, holder.AgeKnown = e.origin.Age, e.origin.AgeKnown
	return r.askStep(id, e, holder), true
}

// endRepeat records the verdict of a repeat that must not run on this instance. If the
// request's holder is known and the verdict isn't Ran, the entry stays barred, so that the
// next repeat asks the holder again.
func (r *Registry) endRepeat(now time.Time, id request.ID, e *entry, v verdict.Verdict) Step {
	e.state = ended
	e.verdict = v
	e.lastEvent = now
	if e.holder.Instance != "" && v != verdict.Ran {
		e.state = barred
	}
	return duplicate(v, "an earlier attempt went to another instance")
}
