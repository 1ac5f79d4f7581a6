package routing

import "limpethub/internal/kernel"

// crowding is the share of the duration that a full server costs on top of an
// empty one, since a larger batch makes each step longer.
const crowding = 0.25

// finish scores by the predicted time until the end.
type finish struct{}

var _ Scorer = finish{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.score-finish", New: func() any { return finish{} }})
}

// Score implements Scorer.
func (finish) Score(_ *Query, c *Candidate) float64 {
	used := float64(c.Total) / float64(max(1, c.Limit))
	return c.Wait.Seconds() + c.Backlog.Seconds() + c.Estimate.Total.Seconds()*(1+crowding*used)
}
