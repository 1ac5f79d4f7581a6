package placement

import "limpethub/internal/kernel"

func init() {
	kernel.Register(kernel.Module{Name: "placement.value", New: func() any { return NewValue() }})
}

// Value is the default policy: a floor of copies for every unit, then copies by the
// value of the work that they let finish in time.
type Value struct{}

var _ Policy = (*Value)(nil)

// NewValue makes the policy.
func NewValue() *Value { return &Value{} }

// Plan implements Policy.
func (p *Value) Plan(in Input) Plan {
	b := newBoard(in)
	b.retire()
	b.firstCopies()
	b.secondCopies()
	return b.plan
}

// loss is the value that goes with a copy.
func (b *board) loss(u, s int) float64 {
	return b.units[u].weight * b.units[u].tokens / float64(len(b.copies[u]))
}
