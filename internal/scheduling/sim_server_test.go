package scheduling

import (
	"slices"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/verdict"
)

// simServer is an engine with continuous batching that orders its waiting requests by priority
// and then by deadline.
type simServer struct {
	name     string
	resident []modelref.Ref
	running  []*simRequest
	waiting  []*simRequest
	// stepping is true while an event for the end of the current decode step is scheduled.
	stepping bool
	// slowdown multiplies the time of a decode step.
	slowdown time.Duration
	dead     bool
}

// stepTime returns how long a decode step takes on the server.
func (v *simServer) stepTime() time.Duration { return v.slowdown * simStep }

// receive handles the arrival of a request at its server. The server cancels it at its deadline.
func (s *sim) receive(r *simRequest) {
	v := r.server
	if v.dead {
		s.end(r, verdict.NotRun, verdict.Refused(verdict.CodeServerFailed, "dial"))
		return
	}
	v.waiting = append(v.waiting, r)
	r.attempts++
	attempt := r.attempts
	s.after(r.Deadline.Sub(s.now), func() {
		if r.server == v && r.attempts == attempt {
			v.remove(r)
			s.end(r, verdict.MayHaveRun, verdict.Unclear(verdict.CodeDeadlineExpired, nil, "late"))
		}
	})
	if !v.stepping {
		s.step(v)
	}
}

func (v *simServer) remove(r *simRequest) {
	same := func(other *simRequest) bool { return other == r }
	v.running = slices.DeleteFunc(v.running, same)
	v.waiting = slices.DeleteFunc(v.waiting, same)
}

// step fills the server's batch by priority and runs one decode step.
func (s *sim) step(v *simServer) {
	for len(v.running) < simBatch && len(v.waiting) > 0 {
		at := 0
		for i, r := range v.waiting {
			if first := v.waiting[at]; r.priority < first.priority || (r.priority == first.priority && r.Deadline.Before(first.Deadline)) {
				at = i
			}
		}
		v.running = append(v.running, v.waiting[at])
		v.waiting = slices.Delete(v.waiting, at, at+1)
	}
	v.stepping = len(v.running) > 0 && !v.dead
	if !v.stepping {
		return
	}
	s.after(v.stepTime(), func() {
		if v.dead {
			return
		}
		for _, r := range slices.Clone(v.running) {
			s.advanceRequest(v, r)
		}
		s.step(v)
	})
}

// advanceRequest gives a request one step of prefill or one token, and ends it after its last.
func (s *sim) advanceRequest(v *simServer, r *simRequest) {
	if r.prefillSteps > 0 {
		r.prefillSteps--
		return
	}
	r.answerTokens++
	if r.answerTokens == 1 {
		r.firstToken = s.now
	}
	if r.answerTokens < r.tokens {
		return
	}
	v.remove(r)
	s.inTime[r.Class]++
	if r.Class == 0 {
		s.urgentFirstTokenMillis = append(s.urgentFirstTokenMillis, float64(r.firstToken.Sub(r.Arrived).Milliseconds()))
	}
	s.end(r, verdict.Ran, nil)
}

// kill stops a server; the requests on it may have run.
func (s *sim) kill(v *simServer) {
	v.dead = true
	for _, r := range append(slices.Clone(v.running), v.waiting...) {
		s.end(r, verdict.MayHaveRun, verdict.Unclear(verdict.CodeServerFailed, nil, "reset"))
	}
	v.running, v.waiting = nil, nil
}
