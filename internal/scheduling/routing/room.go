package routing

import "limpethub/internal/kernel"

// room keeps servers below their limit, or of which this instance hasn't its share.
type room struct{}

var _ Filter = room{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.filter-room", New: func() any { return room{} }})
}

// Keep implements Filter.
func (room) Keep(_ *Query, c *Candidate) bool { return c.Ahead < c.Limit || c.OwnAhead < c.Share }
