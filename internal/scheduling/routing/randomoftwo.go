package routing

import "limpethub/internal/kernel"

// randomOfTwo picks the server with the lower score of two drawn at random.
type randomOfTwo struct{}

var _ Picker = randomOfTwo{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.pick-random-of-two", New: func() any { return randomOfTwo{} }})
}

func (randomOfTwo) Pick(q *Query, scored []Scored) int {
	first := q.Random.IntN(len(scored))
	if len(scored) == 1 {
		return first
	}
	second := q.Random.IntN(len(scored) - 1)
	if second >= first {
		second++
	}
	if scored[second].Score < scored[first].Score {
		return second
	}
	return first
}
