package routing

import "limpethub/internal/kernel"

// constant gives all servers the same score.
type constant struct{}

var _ Scorer = constant{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.score-constant", New: func() any { return constant{} }})
}

// Score implements Scorer.
func (constant) Score(*Query, *Candidate) float64 { return 0 }
