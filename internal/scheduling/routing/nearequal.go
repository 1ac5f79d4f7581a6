package routing

import (
	"github.com/cespare/xxhash/v2"

	"limpethub/internal/kernel"
)

const (
	// tolerance is the share above the lowest score up to which scores are near-equal.
	tolerance = 0.05
	// slack is added to it, in seconds.
	slack = 0.005
	// affinityShare is which part of the time that a cached prefix saves a request may
	// lose so that others find the prefix there.
	affinityShare = 0.3
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
	best := minimum(scored)
	bound := scored[best].Score*(1+tolerance) + slack
	if q.Affinity != 0 {
		return sameForAll(q.Affinity, scored, bound+affinityShare*scored[best].Saving.Seconds())
	}
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

// sameForAll picks by a hash of the shared part and the server's name, so that all
// instances send what shares a part of its prompt to the same server before any of
// them knows where it is cached.
func sameForAll(affinity uint64, scored []Scored, bound float64) int {
	best, highest := 0, uint64(0)
	for i := range scored {
		if scored[i].Score > bound {
			continue
		}
		if rank := affinityRank(affinity, scored[i].Name); rank >= highest {
			best, highest = i, rank
		}
	}
	return best
}

func affinityRank(affinity uint64, server string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(affinity)
	// A Digest returns no errors.
	_, _ = digest.WriteString(server)
	return digest.Sum64()
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
