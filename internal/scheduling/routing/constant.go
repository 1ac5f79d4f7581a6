package routing

import "limpethub/internal/kernel"

// constant gives all servers the same score.
type constant struct{}

var _ Scorer = constant{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.score-constant", New: func() any { return constant{} }})
}

func (constant) Score(*Query, *Candidate) float64 { return 0 }
