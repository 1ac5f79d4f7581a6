package routing

import "limpethub/internal/kernel"

// inTime keeps servers that are predicted to finish the request by its deadline and to send the
// first event before the caller leaves, and those without a prediction.
type inTime struct{}

var _ Filter = inTime{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.filter-in-time", New: func() any { return inTime{} }})
}

func (inTime) Keep(q *Query, c *Candidate) bool {
	if c.Probe || !c.Estimate.Known {
		return true
	}
	if !q.FirstEventBy.IsZero() && q.Now.Add(c.FirstEvent()).After(q.FirstEventBy) {
		return false
	}
	return !q.Now.Add(c.Finish()).After(q.Deadline)
}
