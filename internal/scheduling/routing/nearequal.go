package routing

import (
	"github.com/cespare/xxhash/v2"

	"limpethub/internal/kernel"
)

const (
	// tolerance is how far a score may exceed the lowest one to count as near-equal, as a
	// share of the lowest.
	tolerance = 0.05
	// toleranceSeconds is added to that bound, in seconds.
	toleranceSeconds = 0.005
	// affinityShare is the share of the time saved by a cached prefix that a request may
	// lose on a slower server, so that other requests find the prefix there.
	affinityShare = 0.3
)

// nearEqual picks at random among the servers whose score is near the lowest, preferring
// those in the instance's own failure domain. The random choice keeps instances that act
// on the same lagging report from all choosing the same server. For a request that shares
// a part of its prompt with others, it picks by that part instead.
type nearEqual struct{}

var _ Picker = nearEqual{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.pick-near-equal", New: func() any { return nearEqual{} }})
}

// Pick implements Picker.
func (nearEqual) Pick(q *Query, scored []Scored) int {
	best := indexOfLowest(scored)
	bound := scored[best].Score*(1+tolerance) + toleranceSeconds
	if q.Affinity != 0 {
		return pickByAffinity(q.Affinity, scored, bound+affinityShare*scored[best].PrefixSaving.Seconds())
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
		return nthWithinBound(scored, bound, true, q.Random.IntN(near))
	}
	return nthWithinBound(scored, bound, false, q.Random.IntN(all))
}

// pickByAffinity picks the server within the bound with the highest hash of the shared part
// of the prompt and the server's name. All instances thus send requests that share a part
// to the same server, even before any of them knows where it is cached.
func pickByAffinity(affinity uint64, scored []Scored, bound float64) int {
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

// nthWithinBound returns the position of the nth candidate, from 0, whose score is within the
// bound. If nearOnly is set, only candidates in the near failure domain count.
func nthWithinBound(scored []Scored, bound float64, nearOnly bool, n int) int {
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

// indexOfLowest returns the position of the first candidate with the lowest score.
func indexOfLowest(scored []Scored) int {
	best := 0
	for i := range scored {
		if scored[i].Score < scored[best].Score {
			best = i
		}
	}
	return best
}
