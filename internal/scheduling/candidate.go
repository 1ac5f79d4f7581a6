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
	urgency float64
}

func (c *core) seeker(now time.Time, t *target, r *request.Request, avoid string) seeker {
	return seeker{
		request: r,
		avoid:   avoid,
		holders: c.prefixes.Holders(r.PrefixKey),
		probe:   t.running == 0 && now.Sub(t.probed) >= probePeriod,
		urgency: c.urgency(r.Class),
	}
}

// urgency is 1 for the most urgent class and 0 for the least urgent one.
func (c *core) urgency(class int) float64 {
	last := len(c.document.Classes) - 1
	if last == 0 || c.floor.Due(class) {
		return 1
	}
	return float64(last-class) / float64(last)
}

// candidate describes a replica to the routing policy.
func (c *core) candidate(now time.Time, r *replica, k *seeker) routing.Candidate {
	s := r.server
	cached := k.holders.Has(now, s.Name)
	total := s.load.Total(now)
	return routing.Candidate{
		Name:     s.Name,
		Near:     s.Near,
		Own:      s.load.Own(),
		Total:    total,
		Limit:    s.limit.Value(k.urgency),
		Cached:   cached,
		Probe:    k.probe,
		Wait:     s.wait(total, k.urgency),
		Estimate: r.speed.Estimate(now, k.request.PromptTokens, k.request.MaxTokens, cached),
	}
}

// wait predicts how long a request waits in the server, which orders its queue by
// priority: the most urgent class waits for a place in the batch only.
func (s *server) wait(total int, urgency float64) time.Duration {
	batch := s.limit.Batch()
	if batch == 0 || total < batch {
		return 0
	}
	ahead := float64(total-batch)*(1-urgency) + 1
	return time.Duration(ahead * float64(s.service) / float64(batch))
}

// choose asks the routing policy for a replica of the target; nil when none is left.
func (c *core) choose(now time.Time, t *target, k *seeker) (*replica, routing.Candidate) {
	c.candidates = c.candidates[:0]
	c.choices = c.choices[:0]
	for _, r := range t.replicas {
		if !r.usable(now, k.avoid) {
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
	q := routing.Query{Now: now, Deadline: k.request.Deadline, Random: c.random, Turn: t.turn}
	i := c.policy.Choose(&q, c.candidates)
	if i < 0 {
		return nil, routing.Candidate{}
	}
	return c.choices[i], c.candidates[i]
}

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
