package scheduling

import (
	"slices"
	"time"

	"limpethub/internal/modelref"
	"limpethub/internal/verdict"
)

// simServer is an engine with continuous batching, which orders what waits by priority,
// then deadline.
type simServer struct {
	name     string
	resident []modelref.Ref
	running  []*simRequest
	waiting  []*simRequest
	stepping bool
	factor   time.Duration
	dead     bool
}

func (v *simServer) stepTime() time.Duration { return v.factor * simStep }

// take is the arrival of a request at its server. At the deadline it is canceled.
func (s *sim) take(r *simRequest) {
	v := r.server
	if v.dead {
		s.end(r, verdict.NotRun, verdict.Refused(verdict.CodeServerFailed, "dial"))
		return
	}
	v.waiting = append(v.waiting, r)
	r.sent++
	attempt := r.sent
	s.after(r.Deadline.Sub(s.now), func() {
		if r.server == v && r.sent == attempt {
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

// step runs one step of a server's batch, after filling it by priority.
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
			s.token(v, r)
		}
		s.step(v)
	})
}

func (s *sim) token(v *simServer, r *simRequest) {
	if r.prefill > 0 {
		r.prefill--
		return
	}
	r.done++
	if r.done == 1 {
		r.first = s.now
	}
	if r.done < r.tokens {
		return
	}
	v.remove(r)
	s.inTime[r.Class]++
	if r.Class == 0 {
		s.urgentFirst = append(s.urgentFirst, float64(r.first.Sub(r.Arrived).Milliseconds()))
	}
	s.end(r, verdict.Ran, nil)
}

func (s *sim) kill(v *simServer) {
	v.dead = true
	for _, r := range append(slices.Clone(v.running), v.waiting...) {
		s.end(r, verdict.MayHaveRun, verdict.Unclear(verdict.CodeServerFailed, nil, "reset"))
	}
	v.running, v.waiting = nil, nil
}
