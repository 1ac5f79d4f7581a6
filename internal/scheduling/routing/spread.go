package routing

import "slices"

const (
	// spreadDivisor is which part of the servers is good enough while the servers differ: the better half.
	spreadDivisor = 2
	// minSpread is the least number of servers that are good enough, if there are as many. With two, the
	// better one of both would get everything.
	minSpread = 3
)

// spreadBound returns the score up to which servers are good enough while they differ in speed.
//
// The load is a server that becomes free, or is as fast again: for a digest period all instances find it better
// than all others, and hundreds of requests would go to it at once.
func spreadBound(scored []Scored) float64 {
	scores := make([]float64, len(scored))
	for i := range scored {
		scores[i] = scored[i].Score
	}
	slices.Sort(scores)
	count := max(minSpread, (len(scores)+1)/spreadDivisor)
	return scores[min(count, len(scores))-1]
}

// pickOfTwo picks the server with the lower score of two drawn at random among those within the bound. The
// best server gets at most twice its even share of them. If both are within the usual tolerance of each
// other, the near one is picked.
func pickOfTwo(q *Query, scored []Scored, bound float64) int {
	count := 0
	for i := range scored {
		if scored[i].Score <= bound {
			count++
		}
	}
	first := q.Random.IntN(count)
	if count == 1 {
		return nthWithinBound(scored, bound, false, first)
	}
	second := q.Random.IntN(count - 1)
	if second >= first {
		second++
	}
	return betterOf(scored, nthWithinBound(scored, bound, false, first), nthWithinBound(scored, bound, false, second))
}

func betterOf(scored []Scored, a, b int) int {
	if scored[b].Score < scored[a].Score {
		a, b = b, a
	}
	nearEqual := scored[b].Score <= scored[a].Score*(1+tolerance)+toleranceSeconds
	if nearEqual && scored[b].Near && !scored[a].Near {
		return b
	}
	return a
}
