package flowcontrol

// maxCredit bounds how much a class may save up while its servers are busy.
const maxCredit = 4

// Floor gives each class its share of dispatches while it has work waiting.
type Floor struct {
	shares  []float64
	credits []float64
}

// NewFloor makes a floor from the share, 0 to 1, of each class.
func NewFloor(shares []float64) *Floor {
	return &Floor{shares: shares, credits: make([]float64, len(shares))}
}

// Due reports whether a class may go before more urgent ones.
func (f *Floor) Due(class int) bool { return f.credits[class] >= 1 }

// Dispatched counts the dispatch of a request of a class. Classes with work waiting
// earn their share of it, and the class itself uses up one credit.
func (f *Floor) Dispatched(class int, queue *Queue) {
	for c := range f.credits {
		if queue.Length(c) == 0 {
			f.credits[c] = 0
			continue
		}
		f.credits[c] = min(maxCredit, f.credits[c]+f.shares[c])
	}
	f.credits[class] = max(0, f.credits[class]-1)
}
