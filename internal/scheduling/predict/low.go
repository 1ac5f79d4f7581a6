package predict

const (
	// fall and rise are the weights of samples below and above a low.
	fall = 0.5
	rise = 0.02
	// highest bounds a sample, as a multiple of the low that it goes into.
	highest = 2
)

// low follows the low end of its samples. It serves for times that hold a wait of
// unknown length, which only ever makes them longer.
type low struct {
	value float64
	seen  bool
}

func (l *low) add(sample float64) {
	if !l.seen {
		l.value, l.seen = sample, true
		return
	}
	weight := rise
	if sample < l.value {
		weight = fall
	}
	l.value += weight * (min(sample, highest*l.value) - l.value)
}
