// Package routing chooses a server among the candidates for a request. A policy
// filters the candidates, scores those left and picks one; each step is a plug-in
// registered with the kernel under "routing.<name>", and so are the policies.
//
// What must hold for every policy isn't decided here: candidates are always live,
// not leaving and hold what the request needs.
package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limpethub/internal/kernel"
	"limpethub/internal/scheduling/predict"
)

// Query is the request for which a server is sought.
type Query struct {
	// Now is the time of the decision.
	Now time.Time
	// Deadline is when the whole answer must have been delivered.
	Deadline time.Time
	// Random is the source of random choices.
	Random *rand.Rand
	// Affinity identifies the part of the prompt that other requests share; 0 means none.
	Affinity uint64
	// MostBacklog bounds the backlog of a server that may get the request; 0 means no
	// bound.
	MostBacklog time.Duration
	// Turn counts the decisions about the same target.
	Turn uint64
}

// Candidate is a server that could take the request.
type Candidate struct {
	// Name is the server's name.
	Name string
	// Near is true in the instance's own failure domain.
	Near bool
	// Own is how many requests this instance has on the server.
	Own int
	// Total estimates how many requests the server has from all instances.
	Total int
	// Ahead is the part of Total that isn't less urgent than the request.
	Ahead int
	// Limit is the adaptive limit of Ahead.
	Limit int
	// OwnAhead is the part of Ahead that is this instance's.
	OwnAhead int
	// Share is the part of Limit that this instance may use however much others do, so
	// that an instance whose work waits doesn't starve behind the others' work.
	Share int
	// Cached is true when the server is expected to hold the prompt's prefix.
	Cached bool
	// Unread is how many tokens of the prompt the server probably has to read.
	Unread int
	// Backlog is the time that the server needs to read the prompts that were sent to it
	// and that it hasn't begun to answer.
	Backlog time.Duration
	// Reading is the time that the server needs to read the prompt itself.
	Reading time.Duration
	// Saving is the time that reading the shared part of the prompt takes where it isn't
	// cached.
	Saving time.Duration
	// Probe lets the request through where nothing else would show the server's
	// present speed.
	Probe bool
	// Wait is the predicted wait in the server.
	Wait time.Duration
	// Estimate is the predicted duration without a wait.
	Estimate predict.Estimate
}

// Finish is the predicted time until the end of the request.
func (c *Candidate) Finish() time.Duration { return c.Wait + c.Backlog + c.Estimate.Total }

// Filter drops candidates.
type Filter interface {
	// Keep reports whether the candidate stays.
	Keep(q *Query, c *Candidate) bool
}

// Scorer rates candidates.
type Scorer interface {
	// Score returns the cost of the candidate in seconds; lower is better.
	Score(q *Query, c *Candidate) float64
}

// Scored is a candidate that passed the filters.
type Scored struct {
	*Candidate
	// Index is the candidate's place among those offered.
	Index int
	// Score is the scorer's cost.
	Score float64
}

// Picker chooses among scored candidates.
type Picker interface {
	// Pick returns a position in scored, which isn't empty.
	Pick(q *Query, scored []Scored) int
}

// Policy is a named composition of steps.
type Policy struct {
	// Filters apply in order.
	Filters []Filter
	// Scorer rates what the filters left.
	Scorer Scorer
	// Picker makes the choice.
	Picker Picker
	// Admission is the dotted name of the admission policy that goes with it.
	Admission string

	scratch []Scored
}

// Choose returns the position of the chosen candidate, or -1 when none is left.
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

// Limited reports whether the policy keeps servers below their limit, so that full
// servers needn't be offered to it.
func (p *Policy) Limited() bool {
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

// NewPolicy makes the policy with the given dotted name.
func NewPolicy(name string) (*Policy, error) {
	p, err := kernel.New[*Policy](name)
	if err != nil {
		return nil, fmt.Errorf("routing: policy: %w", err)
	}
	return p, nil
}
