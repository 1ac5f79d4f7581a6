package routing

import "limpethub/internal/kernel"

// room keeps servers that are below their limit, or on which this instance uses less than its
// own share of the limit; see WithinShare.
type room struct{}

var _ Filter = room{}

func init() {
	kernel.Register(kernel.Module{Name: "routing.filter-room", New: func() any { return room{} }})
}

func (room) Keep(_ *Query, c *Candidate) bool {
	return c.Ahead < c.Limit || WithinShare(c.Ahead, c.OwnAhead, c.Limit, c.Share)
}

// overshootDivisor bounds how far the shares of all instances together may take a server beyond
// its limit: by the limit / overshootDivisor, at least 1.
const overshootDivisor = 8

// WithinShare reports whether an instance may send a request to a server at its limit because
// it uses less than its own share of the limit. The load is a fleet with more instances than a
// server has places: each share is at least 1, and without a bound the server would get as many
// requests beyond its limit as there are instances.
func WithinShare(ahead, ownAhead, limit, share int) bool {
	return ownAhead < share && ahead < limit+max(1, limit/overshootDivisor)
}
