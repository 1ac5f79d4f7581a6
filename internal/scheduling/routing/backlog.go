package routing

import "limpethub/internal/kernel"

// backlog keeps servers that soon have read the prompts on their way to them. It answers
// bursts for few copies: a request that waits here can still go to a copy that is being
// loaded, one that waits in a server can't.
type backlog struct{}

var _ Filter = backlog{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.filter-backlog", New: func() any { return backlog{} }})
}

// Keep implements Filter.
func (backlog) Keep(q *Query, c *Candidate) bool {
	return q.MostBacklog == 0 || c.Backlog <= q.MostBacklog || c.Probe
}
