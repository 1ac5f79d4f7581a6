package scheduling

import (
	"time"

	"limpethub/internal/scheduling/routing"
)

const (
	// slowProbePeriod is about how often all instances together send a request to a slow server that gets
	// none otherwise. Without these, its recovery would stay unknown until what was learned of it has faded.
	slowProbePeriod = time.Second
	// slowProbeQuiet is for how long a slow server must have given no sample, to this instance or a peer,
	// before it gets a probe.
	slowProbeQuiet = 500 * time.Millisecond
	// slowProbeAnyAfter is after how long without a sample a probe may also miss its latency objective.
	slowProbeAnyAfter = 3 * time.Second
	// slowProbeShare bounds the share of decisions that are probes, and maxSlowProbeCredit how many probes
	// can be saved up.
	slowProbeShare, maxSlowProbeCredit = 0.02, 3
)

// slowProbe returns the position of a candidate that gets the request only to see whether its server is still
// slow; -1 if none does. The policy's filters apply, so that the request isn't predicted to be late.
func (c *core) slowProbe(now time.Time, in *routingInput) int {
	if c.probeCredit < 1 {
		return -1
	}
	for i := range c.candidates {
		if !c.slowProbeDue(now, c.candidateCopies[i].server) || !meetsObjective(now, in, &c.candidates[i], c.candidateCopies[i].server) {
			continue
		}
		if c.policy.Choose(&c.query, c.candidates[i:i+1]) == 0 {
			return i
		}
	}
	return -1
}

// meetsObjective reports whether the candidate is predicted to meet the request's latency objective, or has given
// no sample for so long that it needn't.
func meetsObjective(now time.Time, in *routingInput, candidate *routing.Candidate, s *server) bool {
	r := in.request
	switch {
	case r.Objective.IsZero() || now.Sub(s.pace.LastSample()) >= slowProbeAnyAfter:
		return true
	case r.FirstEventBy.IsZero():
		return !now.Add(candidate.Finish()).After(r.Objective)
	}
	return !now.Add(candidate.FirstEvent()).After(r.Objective)
}

// slowProbeDue reports whether this instance may send a probe to a server. The instances take turns at
// random: each waits for the period times their number on average.
func (c *core) slowProbeDue(now time.Time, s *server) bool {
	p := &s.pace
	if p.factor <= 1 || now.Sub(p.LastSample()) < slowProbeQuiet {
		return false
	}
	if p.nextProbe.IsZero() {
		c.planSlowProbe(now, s)
	}
	return !now.Before(p.nextProbe)
}

func (c *core) planSlowProbe(now time.Time, s *server) {
	mean := float64(slowProbePeriod) * float64(1+len(c.peers))
	s.pace.nextProbe = now.Add(time.Duration(c.random.ExpFloat64() * mean))
}

// slowProbeSent records that the server gets a probe.
func (c *core) slowProbeSent(now time.Time, s *server) {
	c.probeCredit--
	c.slowProbes++
	c.planSlowProbe(now, s)
}

// SlowProbes implements Scheduler.
func (c *core) SlowProbes() uint64 { return c.slowProbes }
