package routing

import "limpethub/internal/kernel"

// lowest picks at random among the servers with the lowest score.
type lowest struct{}

var _ Picker = lowest{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.pick-lowest", New: func() any { return lowest{} }})
}

func (lowest) Pick(q *Query, scored []Scored) int {
	bound := scored[indexOfLowest(scored)].Score
	equal := 0
	for i := range scored {
		if scored[i].Score == bound {
			equal++
		}
	}
	return nthWithinBound(scored, bound, false, q.Random.IntN(equal))
}
