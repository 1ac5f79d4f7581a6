package routing

import "limpethub/internal/kernel"

// room keeps servers that are below their limit, or on which this instance uses less than its
// own share of the limit.
type room struct{}

var _ Filter = room{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.filter-room", New: func() any { return room{} }})
}

func (room) Keep(_ *Query, c *Candidate) bool { return c.Ahead < c.Limit || c.OwnAhead < c.Share }
