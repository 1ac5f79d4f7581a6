package routing

import "limpethub/internal/kernel"

// inTurn picks the servers in round-robin order.
type inTurn struct{}

var _ Picker = inTurn{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.pick-in-turn", New: func() any { return inTurn{} }})
}

func (inTurn) Pick(q *Query, scored []Scored) int { return int(q.DecisionCount % uint64(len(scored))) }
