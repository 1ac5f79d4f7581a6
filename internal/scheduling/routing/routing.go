// Package routing chooses a server among the candidates for a request. A policy filters the
// candidates, scores the remaining ones and picks one. Each of these steps is a plug-in
// registered with package kernel under "routing.<name>", and so are the policies.
//
// Conditions that hold for every policy are checked by the caller: all candidates are
// reachable, not leaving and hold what the request needs.
package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limpethub/internal/kernel"
	"limpethub/internal/scheduling/predict"
)

// Query describes the request that needs a server.
type Query struct {
	// Now is the time of the decision.
	Now time.Time
	// Deadline is when the whole answer must have been delivered.
	Deadline time.Time
	// FirstEventBy is when the caller leaves if no event has arrived; zero if it waits until
	// Deadline.
	FirstEventBy time.Time
	// Random is the source of random choices.
	Random *rand.Rand
	// Affinity identifies the part of the prompt that other requests share; 0 if there is none.
	Affinity uint64
	// MaxBacklog is the highest backlog of a server that may get the request; 0 means no
	// limit.
	MaxBacklog time.Duration
	// Spread is true if the servers differ in speed, or did a short time ago. Then no server may get all
	// requests that are decided on the same information, however much better it is than the others.
	Spread bool
	// UrgentBacklog is the highest backlog, with the request's own prompt, of a server that has a
	// backlog, so that more urgent requests can use it; 0 means no limit.
	UrgentBacklog time.Duration
	// DecisionCount counts the decisions about the same target. It drives round-robin picking.
	DecisionCount uint64
}

// Candidate is a server that could run the request.
type Candidate struct {
	// Name is the server's name.
	Name string
	// Near is true if the server is in the instance's own failure domain. Such servers are
	// called near.
	Near bool
	// Own is how many requests this instance has on the server.
	Own int
	// Total estimates how many requests the server has from all instances.
	Total int
	// Ahead is the part of Total that is at least as urgent as the request.
	Ahead int
	// Limit is the server's adaptive limit of Ahead.
	Limit int
	// OwnAhead is the part of Ahead that this instance has sent.
	OwnAhead int
	// Share is the part of Limit that this instance may use even if other instances exceed
	// the rest, so that their requests can't starve the ones waiting here.
	Share int
	// Cached is true if the server is expected to hold the prompt's prefix. It is always false
	// for a request with Prefix parts, whose cached tokens PrefillTokens leaves out instead.
	Cached bool
	// PrefillTokens is how many tokens of the prompt the server probably has to prefill. For a
	// request without Prefix parts it is the whole prompt, even if Cached is true.
	PrefillTokens int
	// Backlog is the time that the server needs to prefill the prompts that were sent to it
	// and whose answers it hasn't begun.
	Backlog time.Duration
	// PrefillTime is the time that the server needs to prefill the request's own prompt.
	PrefillTime time.Duration
	// PrefixSaving is the time saved on a server that holds the shared part of the prompt in its
	// cache: the prefill time of that part.
	PrefixSaving time.Duration
	// Probe lets the request pass the filters that use predictions, so that its answer corrects
	// them. It doesn't make room on a full server.
	Probe bool
	// SlowProbe is true for a slow server that gets the request only to see whether it still is slow.
	SlowProbe bool
	// Wait is the predicted wait in the server.
	Wait time.Duration
	// Estimate is the predicted duration without the wait.
	Estimate predict.Estimate
}

// Finish returns the predicted time to the end of the request.
func (c *Candidate) Finish() time.Duration { return c.Wait + c.Backlog + c.Estimate.Total }

// FirstEvent returns the predicted time to the first event.
func (c *Candidate) FirstEvent() time.Duration { return c.Wait + c.Backlog + c.PrefillTime }

// Filter removes candidates.
type Filter interface {
	// Keep reports whether the candidate stays.
	Keep(q *Query, c *Candidate) bool
}

// Scorer scores candidates.
type Scorer interface {
	// Score returns the cost of the candidate in a unit of the scorer's own; lower is better.
	Score(q *Query, c *Candidate) float64
}

// Scored is a candidate that passed the filters.
type Scored struct {
	*Candidate
	// Index is the candidate's position among those given to Choose.
	Index int
	// Score is the candidate's cost, in the unit of the policy's scorer.
	Score float64
}

// Picker picks one of the scored candidates.
type Picker interface {
	// Pick returns a position in scored, which is never empty.
	Pick(q *Query, scored []Scored) int
}

// Policy combines filters, a scorer and a picker. It reuses a buffer, so it isn't safe for
// concurrent use.
type Policy struct {
	// Filters are applied in order; a candidate must pass all of them.
	Filters []Filter
	// Scorer scores the candidates that passed the filters.
	Scorer Scorer
	// Picker picks one of the scored candidates.
	Picker Picker
	// Admission is the name of the admission policy that goes with this one.
	Admission string

	scratch []Scored
}

// Choose returns the position of the chosen candidate, or -1 if the filters leave none.
func (p *Policy) Choose(q *Query, candidates []Candidate) int {
	p.scratch = p.scratch[:0]
	for i := range candidates {
		c := &candidates[i]
		if p.keep(q, c) {
			p.scratch = append(p.scratch, Scored{Candidate: c, Index: i, Score: p.Scorer.Score(q, c)})
		}
	}
	if len(p.scratch) == 0 {
		return -1
	}
	return p.scratch[p.Picker.Pick(q, p.scratch)].Index
}

// SkipsFullServers reports whether the policy only uses servers that have room, so that its
// caller needn't offer it full servers.
func (p *Policy) SkipsFullServers() bool {
	for _, f := range p.Filters {
		if _, ok := f.(room); ok {
			return true
		}
	}
	return false
}

func (p *Policy) keep(q *Query, c *Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(q, c) {
			return false
		}
	}
	return true
}

// NewPolicy returns a new instance of the policy that is registered under the name.
func NewPolicy(name string) (*Policy, error) {
	p, err := kernel.New[*Policy](name)
	if err != nil {
		return nil, fmt.Errorf("routing: policy: %w", err)
	}
	return p, nil
}
