package routing

import "limpethub/internal/kernel"

// outstanding scores by the number of requests that this instance has on the server.
type outstanding struct{}

var _ Scorer = outstanding{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.score-outstanding", New: func() any { return outstanding{} }})
}

func (outstanding) Score(_ *Query, c *Candidate) float64 { return float64(c.Own) }
