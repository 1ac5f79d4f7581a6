package flowcontrol

// maxCredit bounds the credits that a class collects while the servers it needs are full, and so
// how many of its requests in a row go before more urgent ones afterwards.
const maxCredit = 4

// Floor guarantees each class a minimum share of the dispatches while it has requests
// waiting. Each class earns credits, and a whole credit lets one request go before more
// urgent classes.
type Floor struct {
	shares  []float64
	credits []float64
}

// NewFloor returns a Floor for the given shares, one per class and each from 0 to 1.
func NewFloor(shares []float64) *Floor {
	return &Floor{shares: shares, credits: make([]float64, len(shares))}
}

// Due reports whether the next request of a class may go before more urgent classes.
func (f *Floor) Due(class int) bool { return f.credits[class] >= 1 }

// Dispatched records the dispatch of a request of a class. It must be called after the request
// was removed from the queue. Each class with waiting requests earns its share of the dispatch,
// and the dispatched class uses up one credit. A class without waiting requests loses its
// credits.
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
