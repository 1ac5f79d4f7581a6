package routing

import "limpethub/internal/kernel"

// crowding is the share of the duration that a full server costs on top of an
// empty one, since a larger batch makes each step longer.
const crowding = 0.25

const (
	// smoothReading is for how long a server reads prompts, in seconds, without its other
	// requests noticing more than slower tokens. Beyond it their streams pause.
	smoothReading = 0.25
	// pauseCost is what each second of such a pause costs for each request that pauses.
	pauseCost = 0.1
	// mostPaused bounds the requests that count.
	mostPaused = 20
)

// finish scores by the predicted time until the end.
type finish struct{}

var _ Scorer = finish{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.score-finish", New: func() any { return finish{} }})
}

// Score implements Scorer.
func (finish) Score(_ *Query, c *Candidate) float64 {
	used := float64(c.Total) / float64(max(1, c.Limit))
	pause := max(0, (c.Backlog+c.Reading).Seconds()-smoothReading)
	paused := float64(min(c.Total, mostPaused))
	return pauseCost*pause*paused + c.Wait.Seconds() + c.Backlog.Seconds() + c.Estimate.Total.Seconds()*(1+crowding*used)
}
