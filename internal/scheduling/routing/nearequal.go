package routing

import (
	"github.com/cespare/xxhash/v2"

	"limpethub/internal/kernel"
)

const (
	// tolerance and toleranceSeconds are how far a score may exceed the lowest one to count as
	// near-equal: a share of the lowest score plus a fixed number of seconds.
	tolerance        = 0.05
	toleranceSeconds = 0.005
	// affinityShare bounds how much slower the server chosen by affinity may be, as a share of
	// the time that a cached prefix saves. Sending requests with the same shared part to one
	// server is worth that delay, since they find the part in its cache.
	affinityShare = 0.3
)

// nearEqual picks at random among the servers whose score is nearly equal to the lowest. It prefers
// near servers, those in the instance's own failure domain. The random choice keeps instances that
// act on the same lagging report from all choosing the same server. For a request that shares a
// part of its prompt with others, it picks by a hash of that part instead; see pickByAffinity.
type nearEqual struct{}

var _ Picker = nearEqual{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.pick-near-equal", New: func() any { return nearEqual{} }})
}

func (nearEqual) Pick(q *Query, scored []Scored) int {
	best := indexOfLowest(scored)
	bound := scored[best].Score*(1+tolerance) + toleranceSeconds
	if q.Spread {
		bound = max(bound, spreadBound(scored))
	}
	if q.Affinity != 0 {
		return pickByAffinity(q.Affinity, scored, bound+affinityShare*scored[best].PrefixSaving.Seconds())
	}
	if q.Spread {
		return pickOfTwo(q, scored, bound)
	}
	nearServers, allServers := 0, 0
	for i := range scored {
		if scored[i].Score > bound {
			continue
		}
		allServers++
		if scored[i].Near {
			nearServers++
		}
	}
	if nearServers > 0 {
		return nthWithinBound(scored, bound, true, q.Random.IntN(nearServers))
	}
	return nthWithinBound(scored, bound, false, q.Random.IntN(allServers))
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
// bound. If nearOnly is set, only near servers count (see Candidate.Near).
// There must be more than n such candidates.
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
