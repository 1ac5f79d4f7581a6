package routing

import "limpethub/internal/kernel"

// urgentBacklog keeps servers whose backlog stays, with the request's own prompt, within what more
// urgent requests allow, and servers without a backlog. So a server takes less urgent prompts one
// after the other, and an urgent one finds servers that can begin with it soon.
type urgentBacklog struct{}

var _ Filter = urgentBacklog{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.filter-urgent-backlog", New: func() any { return urgentBacklog{} }})
}

func (urgentBacklog) Keep(q *Query, c *Candidate) bool {
	return q.UrgentBacklog == 0 || c.Backlog == 0 || c.Backlog+c.PrefillTime <= q.UrgentBacklog
}
