package routing

import "limpethub/internal/kernel"

// fullBatchSlowdown is how much longer a request takes on a full server than on an empty
// one, as a share of its duration: a larger batch makes each decode step longer.
const fullBatchSlowdown = 0.25

const (
	// pauseFreePrefillSeconds is the longest prefill that only slows the tokens of the server's
	// other requests. A longer prefill interrupts their streams.
	pauseFreePrefillSeconds = 0.25
	// pauseCostPerRequest is the cost in seconds of each second of such a pause, for each
	// request that pauses.
	pauseCostPerRequest = 0.1
	// maxPausedRequests bounds the number of requests whose pause is counted.
	maxPausedRequests = 20
)

// finish scores by the predicted time to the end of the request, plus the cost of the pauses
// that its prompt causes for other requests.
type finish struct{}

var _ Scorer = finish{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.score-finish", New: func() any { return finish{} }})
}

func (finish) Score(_ *Query, c *Candidate) float64 {
	loadRatio := float64(c.Total) / float64(max(1, c.Limit))
	pauseSeconds := max(0, (c.Backlog+c.PrefillTime).Seconds()-pauseFreePrefillSeconds)
	paused := float64(min(c.Total, maxPausedRequests))
	return pauseCostPerRequest*pauseSeconds*paused + c.Wait.Seconds() + c.Backlog.Seconds() + c.Estimate.Total.Seconds()*(1+fullBatchSlowdown*loadRatio)
}
