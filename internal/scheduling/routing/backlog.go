package routing

import "limpethub/internal/kernel"

// backlog keeps servers that will soon have prefilled the prompts already sent to them. It
// is for bursts of requests for a model with few copies: a request that waits in the
// instance can still go to a copy that is being loaded, one that waits in a server can't.
type backlog struct{}

var _ Filter = backlog{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.filter-backlog", New: func() any { return backlog{} }})
}

func (backlog) Keep(q *Query, c *Candidate) bool {
	return q.MaxBacklog == 0 || c.Backlog <= q.MaxBacklog || c.Probe
}
