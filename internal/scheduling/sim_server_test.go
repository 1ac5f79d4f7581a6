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
func (server *simServer) stepTime() time.Duration { return server.slowdown * simStep }

// receive handles the arrival of a request at its server. The server ends it at its deadline if
// it is still there.
func (s *sim) receive(r *simRequest) {
	server := r.server
	if server.dead {
		s.end(r, verdict.NotRun, verdict.Refused(verdict.CodeServerFailed, "dial"))
		return
	}
	server.waiting = append(server.waiting, r)
	r.attempts++
	attempt := r.attempts
	s.after(r.Deadline.Sub(s.now), func() {
		if r.server == server && r.attempts == attempt {
			server.remove(r)
			s.end(r, verdict.MayHaveRun, verdict.Unclear(verdict.CodeDeadlineExpired, nil, "late"))
		}
	})
	if !server.stepping {
		s.step(server)
	}
}

func (server *simServer) remove(r *simRequest) {
	same := func(other *simRequest) bool { return other == r }
	server.running = slices.DeleteFunc(server.running, same)
	server.waiting = slices.DeleteFunc(server.waiting, same)
}

// step fills the server's batch by priority and runs one decode step.
func (s *sim) step(server *simServer) {
	for len(server.running) < simBatch && len(server.waiting) > 0 {
		at := 0
		for i, r := range server.waiting {
			if first := server.waiting[at]; r.priority < first.priority || (r.priority == first.priority && r.Deadline.Before(first.Deadline)) {
				at = i
			}
		}
		server.running = append(server.running, server.waiting[at])
		server.waiting = slices.Delete(server.waiting, at, at+1)
	}
	server.stepping = len(server.running) > 0 && !server.dead
	if !server.stepping {
		return
	}
	s.after(server.stepTime(), func() {
		if server.dead {
			return
		}
		for _, r := range slices.Clone(server.running) {
			s.advanceRequest(server, r)
		}
		s.step(server)
	})
}

// advanceRequest takes one step of a request's prefill or generates one token, and ends the
// request after its last token.
func (s *sim) advanceRequest(server *simServer, r *simRequest) {
	if r.prefillSteps > 0 {
		r.prefillSteps--
		return
	}
	r.answerTokens++
	if r.answerTokens == 1 {
		r.firstToken = s.now
	}
	if r.answerTokens < r.answerLength {
		return
	}
	server.remove(r)
	s.inTime[r.Class]++
	if r.Class == 0 {
		s.urgentFirstTokenMillis = append(s.urgentFirstTokenMillis, float64(r.firstToken.Sub(r.Arrived).Milliseconds()))
	}
	s.end(r, verdict.Ran, nil)
}

// kill stops a server; the requests on it may have run.
func (s *sim) kill(server *simServer) {
	server.dead = true
	for _, r := range append(slices.Clone(server.running), server.waiting...) {
		s.end(r, verdict.MayHaveRun, verdict.Unclear(verdict.CodeServerFailed, nil, "reset"))
	}
	server.running, server.waiting = nil, nil
}
