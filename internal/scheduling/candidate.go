package scheduling

import (
	"math"
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/prefix"
	"limpethub/internal/scheduling/routing"
)

// probePeriod is how often a request may be sent to a target that has no running requests
// although it is predicted to finish late. Predictions only improve with new answers, so
// without probes a pessimistic one would never be corrected.
const probePeriod = time.Second

// routingInput is a request that needs a server, with what the choice depends on.
type routingInput struct {
	request *request.Request
	// avoid is the server that must not get the request; empty if there is none.
	avoid string
	// holders are the servers that probably hold the prefix with the request's PrefixKey; nil
	// if none is recorded.
	holders *prefix.Holders
	// probe is true if the request may go to a server that is predicted to finish late; see
	// probePeriod.
	probe bool
	// shared is the longest part of the prompt that other requests may have too; nil if there
	// is none.
	shared *request.PrefixPart
	// class is the effective class of the request; see effectiveClass.
	class int
}

func (c *core) routingInput(now time.Time, t *target, r *request.Request, avoid string) routingInput {
	return routingInput{
		request: r,
		avoid:   avoid,
		holders: c.prefixes.Holders(r.PrefixKey),
		probe:   t.dispatched == 0 && now.Sub(t.lastProbe) >= probePeriod,
		shared:  sharedPart(r.Prefix),
		class:   c.effectiveClass(r.Class),
	}
}

// effectiveClass returns the class with whose priority a request competes for room on
// servers: the most urgent one if the floor of its own class is due.
func (c *core) effectiveClass(class int) int {
	if c.floor.Due(class) {
		return 0
	}
	return class
}

// candidate describes a copy to the routing policy.
func (c *core) candidate(now time.Time, tc *targetCopy, in *routingInput) routing.Candidate {
	s := tc.server
	cached := in.holders != nil && in.holders.Has(now, s.Name)
	prefillTokens := in.request.PromptTokens
	cachedTokens := c.cachedTokens(now, s, in.request.Prefix)
	// The parts of the prompt, if the request has them, are more exact than PrefixKey. The
	// tokens cached for them are left out of prefillTokens, so cached must not shorten the
	// predicted prefill a second time.
	if len(in.request.Prefix) > 0 {
		cached, prefillTokens = false, prefillTokens-cachedTokens
	}
	total, ahead := s.load.Total(now), s.load.TotalUpTo(now, in.class)
	limit := s.limitFor(in.request)
	slowdown := s.slowdown(now)
	return routing.Candidate{
		Name:          s.Name,
		Near:          s.Near,
		Own:           s.load.Own(),
		Total:         total,
		Ahead:         ahead,
		Limit:         limit,
		OwnAhead:      s.load.OwnUpTo(in.class),
		Share:         c.share(limit),
		Cached:        cached,
		PrefillTokens: prefillTokens,
		Backlog:       scaled(s.backlog(now, tc), s.pace.momentarySlowdown(now)),
		PrefillTime:   scaled(in.prefillTime(tc, prefillTokens), slowdown),
		PrefixSaving:  in.prefixSaving(tc),
		Probe:         in.probe,
		Wait:          scaled(s.predictServerWait(total, ahead), s.pace.momentarySlowdown(now)),
		Estimate:      tc.speed.Estimate(now, prefillTokens, in.request.MaxTokens, cached).Scaled(slowdown),
	}
}

// predictServerWait predicts how long a request waits in the server, which orders its queue by
// priority. It waits for a place in the batch and for the waiting requests that are at
// least as urgent.
func (s *server) predictServerWait(total, ahead int) time.Duration {
	batch := s.limit.Batch()
	if batch == 0 || total < batch {
		return 0
	}
	completions := max(0, ahead-batch) + 1
	return time.Duration(completions) * s.expectedDuration() / time.Duration(batch)
}

// choose asks the routing policy for a copy of the target. It returns nil if no usable copy
// with room passes the policy's filters.
func (c *core) choose(now time.Time, t *target, in *routingInput) (*targetCopy, routing.Candidate) {
	c.candidates = c.candidates[:0]
	c.candidateCopies = c.candidateCopies[:0]
	for _, tc := range t.copies {
		if !c.mayUse(now, tc, in) {
			continue
		}
		c.candidates = append(c.candidates, c.candidate(now, tc, in))
		c.candidateCopies = append(c.candidateCopies, tc)
	}
	if in.request.Suspect {
		c.keepCandidates(c.leastLoaded())
	} else {
		c.keepCandidates(func(i int) bool { return c.candidateCopies[i].server.suspects == 0 })
	}
	return c.chooseAmong(now, t, in)
}

// leastLoaded returns a filter for the candidates with the fewest requests, so that a request that
// may crash its server breaks off as few others as possible.
func (c *core) leastLoaded() func(i int) bool {
	least := math.MaxInt
	for i := range c.candidates {
		least = min(least, c.candidates[i].Total)
	}
	return func(i int) bool { return c.candidates[i].Total == least }
}

// keepCandidates drops the candidates that the filter doesn't pass, unless it passes none.
func (c *core) keepCandidates(passes func(i int) bool) {
	kept := 0
	for i := range c.candidates {
		if !passes(i) {
			continue
		}
		c.candidates[kept], c.candidates[i] = c.candidates[i], c.candidates[kept]
		c.candidateCopies[kept], c.candidateCopies[i] = c.candidateCopies[i], c.candidateCopies[kept]
		kept++
	}
	if kept > 0 {
		c.candidates, c.candidateCopies = c.candidates[:kept], c.candidateCopies[:kept]
	}
}

func (c *core) chooseAmong(now time.Time, t *target, in *routingInput) (*targetCopy, routing.Candidate) {
	if len(c.candidates) == 0 {
		return nil, routing.Candidate{}
	}
	c.query = routing.Query{
		Now: now, Deadline: in.request.Deadline, FirstEventBy: in.request.FirstEventBy,
		Random: c.random, DecisionCount: t.decisions,
	}
	if in.shared != nil {
		c.query.Affinity = in.shared.Key
		c.query.MaxBacklog = backlogLimit(in.request)
		c.query.UrgentBacklog = c.urgentBacklog(now, in.request)
	}
	c.probeCredit = min(maxSlowProbeCredit, c.probeCredit+slowProbeShare)
	if c.differs(now) {
		c.query.Spread = true
		if i := c.slowProbe(now, in); i >= 0 {
			c.candidates[i].SlowProbe = true
			return c.candidateCopies[i], c.candidates[i]
		}
	}
	i := c.policy.Choose(&c.query, c.candidates)
	if i < 0 {
		return nil, routing.Candidate{}
	}
	return c.candidateCopies[i], c.candidates[i]
}

// full reports whether the server has no room for a request of the class within the limit, or gets
// as many as it has said that it takes. Less
// urgent requests on the server don't count, since the server makes them wait.
func (c *core) full(now time.Time, s *server, class, limit int) bool {
	if s.atLimit(now) {
		return true
	}
	total := s.load.TotalUpTo(now, class)
	if !c.skipsFullServers || total < limit {
		return false
	}
	return !routing.WithinShare(total, s.load.OwnUpTo(class), limit, c.share(limit))
}

const (
	// objectiveShareInServer is the share of the time to a stream's objective that it may wait in
	// a server whose batch is full. The rest is for the wait on the instance and the prefill.
	objectiveShareInServer = 0.5
	// minWaitingShare is the least number of requests that may wait in a server, as a share of
	// its batch. They keep the batch full although instances learn late of free places.
	minWaitingShare = 0.1
)

// limitFor returns how many requests that are at least as urgent the server may have when it gets
// the request. A server that slows down under load has a lower limit. For streams, the limit is low enough that the
// first event can meet the objective.
//
// The load is an overload of streams with a short objective: a limit that only keeps the server
// busy lets each of them wait in the server for longer than its objective, where it can't go to
// another copy or behind a request that is still in time.
func (s *server) limitFor(r *request.Request) int {
	limit, batch := s.limit.Value(), s.limit.Batch()
	if s.pace.limit > 0 {
		limit = min(limit, s.pace.limit)
	}
	if batch == 0 || r.FirstEventBy.IsZero() || r.Objective.IsZero() || s.meanDuration <= 0 {
		return limit
	}
	mayWait := objectiveShareInServer * float64(r.Objective.Sub(r.Arrived)) / float64(s.expectedDuration())
	return min(limit, int(float64(batch)*(1+max(minWaitingShare, mayWait))))
}

// share returns this instance's share of a server's limit, at least 1.
func (c *core) share(limit int) int { return max(1, limit/(1+len(c.peers))) }

func (tc *targetCopy) usable(now time.Time, avoid string) bool {
	return tc.server.usable(now) && !now.Before(tc.backoffUntil) && tc.server.Name != avoid
}

// shortestDuration returns the shortest predicted duration of a request on the usable servers.
// known is false if no server is usable or a usable one has no prediction.
func (c *core) shortestDuration(now time.Time, t *target, r *request.Request) (total time.Duration, known bool) {
	holders := c.prefixes.Holders(r.PrefixKey)
	for _, tc := range t.copies {
		if !tc.server.usable(now) {
			continue
		}
		cached := holders.Has(now, tc.server.Name)
		e := tc.speed.Estimate(now, r.PromptTokens, r.MaxTokens, cached).Scaled(tc.server.pace.factor)
		if !e.Known {
			return 0, false
		}
		if !known || e.Total < total {
			total, known = e.Total, true
		}
	}
	return total, known
}
