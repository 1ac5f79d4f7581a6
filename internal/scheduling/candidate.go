package scheduling

import (
	"time"

	"limpethub/internal/request"
	"limpethub/internal/scheduling/prefix"
	"limpethub/internal/scheduling/routing"
)

// probePeriod is how often a request is let through to a target for which nothing
// runs, although it is predicted to be late: predictions only learn from answers.
const probePeriod = time.Second

// seeker is a request for which a server is sought.
type seeker struct {
	request *request.Request
	// avoid is the server of the last attempt.
	avoid   string
	holders *prefix.Holders
	probe   bool
	// shared is the deepest part of the prompt that other requests may have too; nil
	// when there is none.
	shared *request.PrefixPart
	// class is the class as which the request competes for room.
	class int
}

func (c *core) seeker(now time.Time, t *target, r *request.Request, avoid string) seeker {
	return seeker{
		request: r,
		avoid:   avoid,
		holders: c.prefixes.Holders(r.PrefixKey),
		probe:   t.running == 0 && now.Sub(t.probed) >= probePeriod,
		shared:  sharedPart(r.Prefix),
		class:   c.rank(r.Class),
	}
}

// rank is the class as which a request competes: that of the most urgent once its
// floor is due.
func (c *core) rank(class int) int {
	if c.floor.Due(class) {
		return 0
	}
	return class
}

// candidate describes a replica to the routing policy.
func (c *core) candidate(now time.Time, r *replica, k *seeker) routing.Candidate {
	s := r.server
	cached := k.holders != nil && k.holders.Has(now, s.Name)
	prompt := k.request.PromptTokens
	known := c.cachedTokens(now, s, k.request.Prefix)
	if len(k.request.Prefix) > 0 {
		cached, prompt = false, prompt-known
	}
	total, ahead := s.load.Total(now), s.load.UpTo(now, k.class)
	limit := s.limit.Value()
	return routing.Candidate{
		Name:     s.Name,
		Near:     s.Near,
		Own:      s.load.Own(),
		Total:    total,
		Ahead:    ahead,
		Limit:    limit,
		OwnAhead: s.load.OwnUpTo(k.class),
		Share:    c.share(limit),
		Cached:   cached,
		Unread:   prompt,
		Backlog:  s.backlog(now, r),
		Reading:  k.reading(r, prompt),
		Saving:   k.saving(r),
		Probe:    k.probe,
		Wait:     s.wait(total, ahead),
		Estimate: r.speed.Estimate(now, prompt, k.request.MaxTokens, cached),
	}
}

// wait predicts how long a request waits in the server, which orders its queue by
// priority: for a place in the batch, and for those waiting that aren't less urgent.
func (s *server) wait(total, ahead int) time.Duration {
	batch := s.limit.Batch()
	if batch == 0 || total < batch {
		return 0
	}
	turns := max(0, ahead-batch) + 1
	return time.Duration(turns) * s.stay / time.Duration(batch)
}

// choose asks the routing policy for a replica of the target; nil when none is left.
func (c *core) choose(now time.Time, t *target, k *seeker) (*replica, routing.Candidate) {
	c.candidates = c.candidates[:0]
	c.choices = c.choices[:0]
	for _, r := range t.replicas {
		if !r.usable(now, k.avoid) || c.full(now, r.server, k.class) {
			continue
		}
		c.candidates = append(c.candidates, c.candidate(now, r, k))
		c.choices = append(c.choices, r)
	}
	return c.chooseAmong(now, t, k)
}

func (c *core) chooseAmong(now time.Time, t *target, k *seeker) (*replica, routing.Candidate) {
	if len(c.candidates) == 0 {
		return nil, routing.Candidate{}
	}
	c.query = routing.Query{Now: now, Deadline: k.request.Deadline, Random: c.random, Turn: t.turn}
	if k.shared != nil {
		c.query.Affinity = k.shared.Key
		c.query.MostBacklog = mostBacklog(k.request)
	}
	i := c.policy.Choose(&c.query, c.candidates)
	if i < 0 {
		return nil, routing.Candidate{}
	}
	return c.choices[i], c.candidates[i]
}

// full reports whether the server has no room for a request of the class. Less
// urgent requests on it don't count, since the server lets them wait.
func (c *core) full(now time.Time, s *server, class int) bool {
	limit := s.limit.Value()
	if !c.limited || s.load.UpTo(now, class) < limit {
		return false
	}
	return s.load.OwnUpTo(class) >= c.share(limit)
}

// share is this instance's part of a server's limit.
func (c *core) share(limit int) int { return max(1, limit/(1+len(c.peers))) }

func (r *replica) usable(now time.Time, avoid string) bool {
	return r.server.usable(now) && !now.Before(r.backoff) && r.server.Name != avoid
}

// fastest is the shortest predicted duration on any usable server; known is false
// while there is nothing to predict from.
func (c *core) fastest(now time.Time, t *target, r *request.Request) (total time.Duration, known bool) {
	holders := c.prefixes.Holders(r.PrefixKey)
	for _, replica := range t.replicas {
		if !replica.server.usable(now) {
			continue
		}
		cached := holders.Has(now, replica.server.Name)
		e := replica.speed.Estimate(now, r.PromptTokens, r.MaxTokens, cached)
		if !e.Known {
			return 0, false
		}
		if !known || e.Total < total {
			total, known = e.Total, true
		}
	}
	return total, known
}
