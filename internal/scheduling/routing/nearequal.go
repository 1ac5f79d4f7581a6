package routing

import "limpethub/internal/kernel"

const (
	// tolerance is the share above the lowest score up to which scores are near-equal.
	tolerance = 0.05
	// slack is added to it, in seconds.
	slack = 0.005
)

// nearEqual picks at random among the servers whose score is near the lowest, those
// in the near failure domain first. The random choice keeps instances that act on
// the same late report from all choosing the same server.
type nearEqual struct{}

var _ Picker = nearEqual{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.pick-near-equal", New: func() any { return nearEqual{} }})
}

// Pick implements Picker.
func (nearEqual) Pick(q *Query, scored []Scored) int {
	bound := scored[minimum(scored)].Score*(1+tolerance) + slack
	near, all := 0, 0
	for i := range scored {
		if scored[i].Score > bound {
			continue
		}
		all++
		if scored[i].Near {
			near++
		}
	}
	if near > 0 {
		return nth(scored, bound, true, q.Random.IntN(near))
	}
	return nth(scored, bound, false, q.Random.IntN(all))
}

// nth returns the position of the nth candidate within the bound, counting only
// near ones when nearOnly is set.
func nth(scored []Scored, bound float64, nearOnly bool, n int) int {
	for i := range scored {
		if scored[i].Score > bound || (nearOnly && !scored[i].Near) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}

func minimum(scored []Scored) int {
	best := 0
	for i := range scored {
		if scored[i].Score < scored[best].Score {
			best = i
		}
	}
	return best
}
